"""Announcements by which upstreams register with the node beside them."""

from rattanfork_core.announcements.announcement import Announcement
from rattanfork_core.announcements.tracker import AnnouncementTracker

__all__ = ["Announcement", "AnnouncementTracker"]
