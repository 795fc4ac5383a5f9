"""Schedule the times after which refused callers are told to return.

On the heaviest days of two deployments, up to 1.7 times as many calls arrived as the
slots could run, and callers refused in the same moment were all told the same time.
They returned together and were refused again. Each refusal for want of room therefore
gets a time of its own, at the rate at which slots become free.

No slot is reserved: a caller may return through any node, and its next call may be sent
to another home. A caller that returns before its time gets the next time of the
schedule like any other, and takes the place of nobody.
"""

from __future__ import annotations

# Seconds ahead for which places are kept. Few callers wait longer, and the load has
# changed by then.
HORIZON_SECONDS = 2.0


class ReturnSchedule:
    """Times at which slots of one home become free for callers that return.

    Attributes
    ----------
    last : float
        Last time that was given.
    """

    def __init__(self) -> None:
        self.last = float("-inf")

    def next_time(self, earliest: float, interval: float, now: float) -> float:
        """Return the time for a refused caller and keep its place.

        Beyond the horizon, the expected time is returned and no place is kept.

        Parameters
        ----------
        earliest : float
            When the queued calls are served.
        interval : float
            Seconds between two slots that become free.
        """
        time = max(earliest, self.last + interval)
        if time <= now + HORIZON_SECONDS:
            self.last = time
        return time
