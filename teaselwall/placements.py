"""Which model each engine of a pool should have loaded, with few reloads."""

import math

MAX_MODELS = 256
HALF_LIFE_MS = 60_000
HOLD_MS = 30_000
MARGIN = 0.5
MIN_ENGINES = 1


class ModelDemand:
    """Tokens asked for lately, by pool and model, as this host sees them.

    Callers spread over all entry hosts, so one host's part is a sample of the whole.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "weights", "updated_ms")

    def __init__(self, clock):
        self.clock = clock
        self.weights = {}
        self.updated_ms = {}

    def record(self, pool, model, n_tokens):
        """Count a call.

        Parameters
        ----------
        pool : str
        model : str
        n_tokens : int
            Tokens asked for.
        """
        key = (pool, model)
        if key not in self.weights and len(self.weights) >= MAX_MODELS:
            return
        self.weights[key] = self.weight(pool, model) + n_tokens
        self.updated_ms[key] = self.clock.now_ms()

    def weight(self, pool, model):
        """Return the demand for a model, older calls counting less."""
        key = (pool, model)
        age_ms = self.clock.now_ms() - self.updated_ms.get(key, 0.0)
        return self.weights.get(key, 0.0) * math.exp2(-age_ms / HALF_LIFE_MS)


class ModelPlacement:
    """Plan for the engines of one pool; each has one model loaded.

    A model gets an engine more only once it has lacked most of one for a while, and
    engines change one at a time.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    loaded : dict of str to str
        Model by engine address; an engine of which nothing is known is left out.
    """

    __slots__ = ("clock", "loaded", "short_since_ms")

    def __init__(self, clock):
        self.clock = clock
        self.loaded = {}
        self.short_since_ms = {}

    def next_load(self, addresses, weights):
        """Return the next load that the demand calls for.

        Parameters
        ----------
        addresses : list of str
            Engines in service.
        weights : dict of str to float
            Demand by model; each model named gets an engine at least.

        Returns
        -------
        tuple of (str, str) or None
            Address and model.
        """
        model = self._model_most_short(addresses, weights)
        if model is None:
            return None
        address = self._engine_to_change(addresses, weights)
        return None if address is None else (address, model)

    def lacks(self, addresses, weights):
        """Return by model how many engines it lacks; negative where it has spare."""
        ideal = ideal_engines(len(addresses), weights)
        n_loaded = dict.fromkeys(weights, 0)
        for address in addresses:
            model = self.loaded.get(address)
            if model in n_loaded:
                n_loaded[model] += 1
        return {model: ideal[model] - n_loaded[model] for model in weights}

    def _model_most_short(self, addresses, weights):
        """Return the model that has lacked most of an engine for long enough."""
        now_ms = self.clock.now_ms()
        lacks = self.lacks(addresses, weights)
        short = {model for model, lack in lacks.items() if lack > MARGIN}
        self.short_since_ms = {
            model: self.short_since_ms.get(model, now_ms) for model in short
        }
        due = [m for m in short if now_ms >= self.short_since_ms[m] + HOLD_MS]
        return max(sorted(due), key=lacks.get, default=None)

    def _engine_to_change(self, addresses, weights):
        """Return an engine that can change: an unused one, or of what has spare."""
        for address in addresses:
            if self.loaded.get(address) not in weights:
                return address
        lacks = self.lacks(addresses, weights)
        model = min(sorted(lacks), key=lacks.get)
        if lacks[model] > -MARGIN:
            return None
        return next(a for a in addresses if self.loaded.get(a) == model)


def ideal_engines(n_engines, weights):
    """Return how many engines each model should have, as a fraction.

    Parameters
    ----------
    n_engines : int
    weights : dict of str to float

    Returns
    -------
    dict of str to float
        In all ``n_engines``; each model has ``MIN_ENGINES`` as far as they go.
    """
    if not weights:
        return {}
    minimum = min(MIN_ENGINES, n_engines / len(weights))
    remainder = n_engines - minimum * len(weights)
    total = sum(weights.values())
    if not total:
        return dict.fromkeys(weights, n_engines / len(weights))
    return {
        model: minimum + remainder * part / total for model, part in weights.items()
    }
