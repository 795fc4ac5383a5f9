"""Order the revisions of a store that may come back from an older copy of itself.

Such a store loses its latest changes and gives out their revisions again. Each time its
era rises by one, so a change is ordered by its era first. Era and revision are kept in
one integer, which is compared, sent and stored like a revision.
"""

from __future__ import annotations

# Bits of the revision within an era. With the era, they fit into a signed integer of 64
# bits, as messages between nodes have it.
REVISION_BITS = 48
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 14) - 1


def join(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in an era."""
    return era << REVISION_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> REVISION_BITS


def number_of(revision: int) -> int:
    """Return the number that the store gave out for a revision."""
    return revision & MAX_REVISION


def describe(revision: int) -> str:
    """Return a revision as text, with its era unless the store has none."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}:{number}" if era else str(number)


def is_copied(revision: int, written: int) -> bool:
    """Return whether a revision may be an earlier write, restored from the copy.

    Parameters
    ----------
    written : int
        Last known write of the same item, in an earlier era.
    """
    return era_of(revision) > era_of(written) and number_of(revision) <= number_of(
        written
    )
