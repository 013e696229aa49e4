"""Learns how much batch templates slow a service, with its uncertainty.

The model: log(tail) = level + sum over templates of weight * cores, where
cores is the part of the VM's cores that the template's tasks use. One model
for each service and load band, since the same pair hurts more under load.
Each report moves the weights by a Kalman step with a diagonal covariance, so
the cost is linear in the templates present, and a weight that was never seen
apart from others stays uncertain.
"""

import math
from dataclasses import dataclass
from typing import Mapping

__all__ = ('LEVEL', 'Prediction', 'SlowdownModel', 'load_band')

LEVEL = ''

_BAND_ENDS = (0.35, 0.6, 0.8)
# A full VM of an unknown template is taken to raise the tail by a third or
# so, give or take twice that: one or two tasks of it are tried, not twenty.
_PRIOR_MEAN = 0.3
_PRIOR_VARIANCE = 0.36
_LEVEL_VARIANCE = 100.0
# Weights may drift, as versions of programs do; per report in which they show.
_DRIFT = 1e-5
# Reports overlap: one window of calls is seen in several heartbeats.
_OVERLAP = 5.0
_FIRST_NOISE = 0.05
_MIN_NOISE = 0.002
_NOISE_WEIGHT = 0.01
_NEIGHBOUR_NOISE = 12.0


@dataclass(slots=True)
class _Weight:
    mean: float
    variance: float


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected growth of log(tail), and its standard deviation."""

    mean: float
    deviation: float


def load_band(load: float) -> int:
    """Return the band of a load, given as busy part of the slots."""
    return sum(load >= end for end in _BAND_ENDS)


class _BandModel:
    """One service under one band of load."""

    def __init__(self) -> None:
        self.noise = _FIRST_NOISE
        self.weight_by_template = {LEVEL: _Weight(0, _LEVEL_VARIANCE)}

    def weight(self, template: str) -> _Weight:
        known = self.weight_by_template.get(template)
        if known is None:
            known = _Weight(_PRIOR_MEAN, _PRIOR_VARIANCE)
            self.weight_by_template[template] = known
        return known

    def update(
        self,
        cores_by_template: Mapping[str, float],
        log_tail: float,
        noise_factor: float,
    ) -> None:
        features = {LEVEL: 1.0, **cores_by_template}
        error = log_tail - sum(
            self.weight(template).mean * part
            for template, part in features.items()
        )
        spread = sum(
            self.weight(template).variance * part**2
            for template, part in features.items()
        )
        noise = max(self.noise, _MIN_NOISE) * noise_factor
        for template, part in features.items():
            known = self.weight(template)
            gain = known.variance * part / (spread + noise)
            known.mean += gain * error
            known.variance -= gain * part * known.variance
            known.variance += _DRIFT * part
        if spread < noise:
            surprise = error**2 - spread
            self.noise += _NOISE_WEIGHT * (surprise - self.noise)


class SlowdownModel:
    """All services, bands and templates, from every agent's reports."""

    def __init__(self) -> None:
        """Start with the prior for every pair."""
        self._model_by_band: dict[tuple[str, int], _BandModel] = {}

    def observe(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
        tail_ms: float,
    ) -> None:
        """Take one report of a backend's tail beside these templates."""
        band = load_band(load)
        log_tail = math.log(tail_ms)
        self._model(service_name, band).update(
            cores_by_template,
            log_tail,
            _OVERLAP,
        )
        # Neighbouring bands learn a little too, so that a load not met so
        # far starts from a guess instead of from nothing.
        for neighbour in (band - 1, band + 1):
            if 0 <= neighbour <= len(_BAND_ENDS):
                self._model(service_name, neighbour).update(
                    cores_by_template,
                    log_tail,
                    _OVERLAP * _NEIGHBOUR_NOISE,
                )

    def level(self, service_name: str, load: float) -> float | None:
        """Return log(tail) without batch work, None while unknown."""
        weight = self._model(service_name, load_band(load)).weight(LEVEL)
        return weight.mean if weight.variance < _LEVEL_VARIANCE / 2 else None

    def predict(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
    ) -> Prediction:
        """Return how much these templates raise log(tail) at this load."""
        model = self._model(service_name, load_band(load))
        mean: float = 0
        variance: float = 0
        for template, part in cores_by_template.items():
            known = model.weight(template)
            mean += known.mean * part
            variance += known.variance * part**2
        return Prediction(mean, math.sqrt(variance))

    def _model(self, service_name: str, band: int) -> _BandModel:
        key = (service_name, band)
        if key not in self._model_by_band:
            self._model_by_band[key] = _BandModel()
        return self._model_by_band[key]
