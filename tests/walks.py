"""State machines whose rules hypothesis explores and weighted random walks take.

Hypothesis explores short sequences of any kind and shrinks what it finds; a
walk with weights gets into states that need dozens of ordinary steps first.
"""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

SOURCE = object()


def step(weight, needs=lambda machine: True, **options):
    """Make a method a rule with a weight; an option of SOURCE is for :func:`choose`."""

    def decorate(method):
        strategies = {
            name: st.data() if values is SOURCE else st.sampled_from(values)
            for name, values in options.items()
        }
        decorated = precondition(needs)(rule(**strategies)(method))
        decorated.step = (weight, needs, options)
        return decorated

    return decorate


def choose(source, options):
    """Choose with hypothesis data or a random generator."""
    if isinstance(source, Random):
        return source.choice(options)
    return source.draw(st.sampled_from(options))


def walk(machine, rng, length):
    """Take weighted random steps and tear the machine down."""
    names = [name for name in dir(machine) if hasattr(getattr(machine, name), "step")]
    steps = [(getattr(machine, name), *getattr(machine, name).step) for name in names]
    for method, _, needs, options in rng.choices(steps, [s[1] for s in steps], k=length):
        if not needs(machine):
            continue
        chosen = {n: rng if v is SOURCE else rng.choice(v) for n, v in options.items()}
        method(**chosen)
    machine.teardown()
