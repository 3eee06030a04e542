"""Runs hypothesis state machines as weighted random walks too.

Hypothesis explores short sequences of rules and shrinks the failing ones. A weighted
random walk reaches states that need dozens of common steps first.
"""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

SOURCE = object()


def step(weight, needs=lambda machine: True, **options):
    """Decorate a method as a hypothesis rule that random walks take with a given weight.

    :param weight: relative probability of the step in a random walk.
    :param needs: precondition of the step, called with the machine.
    :param options: values to choose each argument from; an argument with the option
        :data:`SOURCE` receives a source of choices for :func:`choose`.
    """

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
    """Choose one of the options, using hypothesis data or a random number generator."""
    if isinstance(source, Random):
        return source.choice(options)
    return source.draw(st.sampled_from(options))


def walk(machine, rng, length):
    """Take weighted random steps, then call the machine's teardown.

    Steps whose precondition does not hold are skipped and count towards the length.
    """
    names = [name for name in dir(machine) if hasattr(getattr(machine, name), "step")]
    steps = [(getattr(machine, name), *getattr(machine, name).step) for name in names]
    for method, _, needs, options in rng.choices(steps, [s[1] for s in steps], k=length):
        if not needs(machine):
            continue
        chosen = {n: rng if v is SOURCE else rng.choice(v) for n, v in options.items()}
        method(**chosen)
    machine.teardown()
