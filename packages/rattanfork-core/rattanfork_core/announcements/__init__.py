"""What upstreams say of themselves, in the order they meant it."""

from rattanfork_core.announcements.announcement import Announcement
from rattanfork_core.announcements.tracker import AnnouncementTracker

__all__ = ["Announcement", "AnnouncementTracker"]
