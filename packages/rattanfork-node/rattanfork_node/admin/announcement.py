"""Announcement that an upstream sends to the node beside it."""

from pydantic import BaseModel, ConfigDict, Field


class Announcement(BaseModel):
    """Service, address and capacity of an upstream, sent to the node beside it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: str = Field(min_length=1, max_length=100)
    url: str = Field(pattern=r"^http://[\d.]+:\d{1,5}$")
    slots: int = Field(ge=1, le=100_000)
    connections: int = Field(800, ge=1, le=100_000)
    leaving: bool = False
