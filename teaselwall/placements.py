"""Plans which model each engine of a pool should load, with few reloads."""

import math

MAX_MODELS = 256
# Half-life of a call's weight in the demand.
HALF_LIFE_MS = 60_000
# A model must be short of engines for this long before it gets another engine.
MIN_SHORTAGE_MS = 30_000
# A model is short of engines if it lacks more than this number of them, and has engines
# to spare if it has at least this number too many.
MARGIN_ENGINES = 0.5
# Least number of engines that each model should have.
MIN_ENGINES = 1


class ModelDemand:
    """Tokens requested through this host, by pool and model, with exponential decay.

    Callers spread over all entry hosts, so the demand seen by one host is a sample of
    the whole.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    weights : dict of (str, str) to float
        Demand at the time of the last call, by pool and model.
    updated_ms : dict of (str, str) to float
        Time of the last call, by pool and model.
    """

    __slots__ = ("clock", "weights", "updated_ms")

    def __init__(self, clock):
        self.clock = clock
        self.weights = {}
        self.updated_ms = {}

    def record(self, pool, model, n_tokens):
        """Add a call to the demand.

        Models beyond the first ``MAX_MODELS`` are not counted.

        Parameters
        ----------
        pool : str
        model : str
        n_tokens : int
            Tokens requested by the call.
        """
        key = (pool, model)
        if key not in self.weights and len(self.weights) >= MAX_MODELS:
            return
        self.weights[key] = self.weight(pool, model) + n_tokens
        self.updated_ms[key] = self.clock.now_ms()

    def weight(self, pool, model):
        """Return the demand for a model; older calls weigh less."""
        key = (pool, model)
        age_ms = self.clock.now_ms() - self.updated_ms.get(key, 0.0)
        return self.weights.get(key, 0.0) * math.exp2(-age_ms / HALF_LIFE_MS)


class ModelPlacement:
    """Plans the loads of the engines of one pool; an engine has one model loaded.

    A model gets another engine only if it has been short of more than
    ``MARGIN_ENGINES`` engines for ``MIN_SHORTAGE_MS``. One engine changes its model at
    a time.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    loaded : dict of str to str
        Model by engine address; engines whose model is not known are left out.
    short_since_ms : dict of str to float
        Time since which a model has been short of engines, by model.
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
            Demand by model; each model is to have at least ``MIN_ENGINES`` engines.

        Returns
        -------
        tuple of (str, str) or None
            Address of an engine, and the model that it should load.
        """
        model = self._model_most_short(addresses, weights)
        if model is None:
            return None
        address = self._engine_to_change(addresses, weights)
        return None if address is None else (address, model)

    def lacks(self, addresses, weights):
        """Return by model how many engines it lacks; negative if it has too many."""
        ideal = ideal_engines(len(addresses), weights)
        n_loaded = dict.fromkeys(weights, 0)
        for address in addresses:
            model = self.loaded.get(address)
            if model in n_loaded:
                n_loaded[model] += 1
        return {model: ideal[model] - n_loaded[model] for model in weights}

    def _model_most_short(self, addresses, weights):
        """Return the model that lacks most engines of those due for another, or None.

        A model is due once it has been short for ``MIN_SHORTAGE_MS``.
        """
        now_ms = self.clock.now_ms()
        lacks = self.lacks(addresses, weights)
        short = {model for model, lack in lacks.items() if lack > MARGIN_ENGINES}
        self.short_since_ms = {
            model: self.short_since_ms.get(model, now_ms) for model in short
        }
        due = [m for m in short if now_ms >= self.short_since_ms[m] + MIN_SHORTAGE_MS]
        return max(sorted(due), key=lacks.get, default=None)

    def _engine_to_change(self, addresses, weights):
        """Return an engine that can load another model, or None.

        An engine without a model in demand is preferred. Otherwise it is an engine of
        the model with the most engines to spare.
        """
        for address in addresses:
            if self.loaded.get(address) not in weights:
                return address
        lacks = self.lacks(addresses, weights)
        model = min(sorted(lacks), key=lacks.get)
        if lacks[model] > -MARGIN_ENGINES:
            return None
        return next(a for a in addresses if self.loaded.get(a) == model)


def ideal_engines(n_engines, weights):
    """Return how many engines each model should have, by its part of the demand.

    Parameters
    ----------
    n_engines : int
    weights : dict of str to float

    Returns
    -------
    dict of str to float
        Fractions that sum to ``n_engines``. Each model has at least ``MIN_ENGINES``,
        or an equal part if there are too few engines.
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
