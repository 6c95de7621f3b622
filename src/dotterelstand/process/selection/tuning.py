"""Parameters of target selection, read once from the settings."""

from dotterelstand.settings import Settings


class SelectionTuning:
    """Parameters of target selection; times in seconds.

    A target with more than the share `full_share` of its slots in use is slower by the factor
    `full_slowdown`. A target whose slots are all in service (none withheld by slow start) may get
    `lookahead_per_slot` additional attempts per slot.
    """

    __slots__ = (
        "answer_grace_s",
        "cross_region_cost_s",
        "eject_first_s",
        "eject_longest_s",
        "eject_share",
        "failure_bound",
        "full_share",
        "full_slowdown",
        "grant_life_s",
        "lookahead_per_slot",
        "max_calls",
        "new_targets_cold",
        "slow_factor",
        "successes_per_slot",
    )

    def __init__(self) -> None:
        self.answer_grace_s = 0.005
        self.cross_region_cost_s = 0.026
        self.eject_first_s = 0.5
        self.eject_longest_s = 30.0
        self.eject_share = 0.3
        self.failure_bound = 0.5
        self.grant_life_s = 10.0
        self.lookahead_per_slot = 0.5
        self.max_calls = 4096
        self.slow_factor = 5.0
        self.successes_per_slot = 4
        self.new_targets_cold = True
        self.full_share = 0.8
        self.full_slowdown = 1.0

    def useful_slots(self, slots: int) -> int:
        """Number of slots in use at which a target has the highest throughput."""
        below = int(self.full_share * slots)
        return below if below and below >= slots / self.full_slowdown else slots


def read_tuning(settings: Settings) -> SelectionTuning:
    """Read the parameters from the settings section `selection`."""
    tuning = SelectionTuning()
    section = "selection"
    tuning.answer_grace_s = settings.number(section, "answer_grace_ms") / 1000
    price_ms = settings.number(section, "crossing_price_ms_per_kib") * settings.number(
        section, "usual_call_kib"
    )
    round_trip_ms = settings.number(section, "crossing_round_trip_ms")
    tuning.cross_region_cost_s = (round_trip_ms + price_ms) / 1000
    tuning.eject_first_s = settings.number(section, "eject_first_s")
    tuning.eject_longest_s = settings.number(section, "eject_longest_s")
    tuning.eject_share = settings.number(section, "eject_share")
    tuning.failure_bound = settings.number(section, "failure_bound")
    tuning.grant_life_s = settings.number(section, "grant_life_s")
    tuning.lookahead_per_slot = settings.number(section, "lookahead_per_slot")
    tuning.max_calls = settings.integer(section, "max_calls")
    tuning.slow_factor = settings.number(section, "slow_factor")
    tuning.successes_per_slot = settings.integer(section, "successes_per_slot")
    tuning.new_targets_cold = settings.flag(section, "new_targets_cold")
    tuning.full_share = settings.number(section, "full_share")
    tuning.full_slowdown = settings.number(section, "full_slowdown")
    assert tuning.eject_share < 1, "selection.eject_share must leave targets in use"
    return tuning
