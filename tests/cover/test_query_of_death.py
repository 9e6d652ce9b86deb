"""Load with a part of a prompt that crashes each target that answers it.

Such calls come at any entry, no two are alike, and sound calls share their
other parts. Without a hold each retry and each further call ends one more
target.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import types

import pytest

from standins import direct_deployment
from wagtailhollow import errors
from wagtailhollow.internal.datagram import messages
from wagtailhollow.internal.entry.direct import prompt_holds

FIRST_PART = 'aa01'
CRASH_PART = 'dead'


def run_scenario(scenario, **shape):
    """Run *scenario* on a new in-process deployment."""

    async def run():
        async with direct_deployment.DirectDeployment(**shape) as site:
            for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
                engine.crash_part = CRASH_PART
            await asyncio.wait_for(scenario(site), 20)

    asyncio.run(run())


def prompt(*parts, own):
    """Return the header for a prompt; *own* is the part of its session."""
    return ','.join(f'{part}:40' for part in (*parts, own))


def call(site, number, *parts, ip=''):
    """Send a stream call with shared parts and a part of its own."""
    return site.call(
        'stream',
        f'r{number}',
        ip=ip,
        X_Prompt_Prefix=prompt(*parts, own=f'{number:x}'),
    )


def crashes(site):
    """Return the number of targets that have crashed."""
    return sum(engine.is_crashed for engine in site.engines)


def test_call_that_crashed_a_target_is_not_sent_to_another():
    """Guards against a retry that ends the next target."""

    async def scenario(site):
        async with call(site, 1, FIRST_PART, CRASH_PART) as resp:
            # It ran, so that the answer must not promise that it has not.
            assert resp.status == 502
        assert crashes(site) == 1

    run_scenario(scenario, engines=4)


def test_part_that_crashed_a_target_is_held_at_all_entries():
    """Guards against calls with one part that end target after target."""

    async def scenario(site):
        await site.list_entries()
        async with call(site, 1, FIRST_PART) as resp:
            assert await resp.read() == direct_deployment.STREAM
        async with call(site, 2, FIRST_PART, CRASH_PART) as resp:
            assert resp.status == 502
        await asyncio.sleep(0.1)
        before = site.request_count(direct_deployment.MODEL_SERVICE)
        for number in range(3, 9):
            ip = site.ips[number % 2]
            async with call(
                site, number, f'aa{number}', CRASH_PART, ip=ip
            ) as resp:
                assert resp.status == 503
                assert float(resp.headers['retry-after']) > 1
        assert site.request_count(direct_deployment.MODEL_SERVICE) == before
        for number in range(9, 15):
            ip = site.ips[number % 2]
            async with call(site, number, FIRST_PART, ip=ip) as resp:
                assert await resp.read() == direct_deployment.STREAM
        assert crashes(site) == 1

    run_scenario(scenario, engines=4, entries=2)


def test_held_calls_are_taken_back_from_other_targets():
    """Guards against calls that wait at a target when their part is held."""

    async def scenario(site):
        slow, quick = site.engines_of(direct_deployment.MODEL_SERVICE)
        await site.list_entries()
        async with call(site, 0, FIRST_PART) as resp:
            await resp.read()
        slow.head_delay_s = 1.5
        site.store.delete('servers', quick.name)
        await asyncio.sleep(0.3)
        waiting = [
            asyncio.ensure_future(
                call(site, number, FIRST_PART, *parts, ip=ip)
            )
            for number, (ip, parts) in enumerate(
                itertools.product(site.ips, [(CRASH_PART,), ()]), 1
            )
        ]
        await asyncio.sleep(0.2)
        # The targets of the last call; the others wait at the slow one.
        site.store.delete('servers', slow.name)
        site.store.put('servers', quick.name, quick.registration())
        await asyncio.sleep(0.4)
        async with call(site, 9, FIRST_PART, CRASH_PART) as resp:
            assert resp.status == 502
        assert quick.is_crashed
        statuses = []
        for resp in await asyncio.gather(*waiting):
            statuses.append(resp.status)
            await resp.read()
        assert statuses == [502, 200, 502, 200]
        assert not slow.is_crashed
        # Its end of these calls is no fault of the target.
        view = site.entry._targets
        assert slow.name not in view._failed_until_s

    run_scenario(scenario, entries=2)


def test_entry_that_starts_later_learns_of_held_parts():
    """Guards against a restarted entry that ends one more target."""

    async def scenario(site):
        async with call(site, 0, FIRST_PART) as resp:
            assert await resp.read() == direct_deployment.STREAM
        async with call(site, 1, FIRST_PART, CRASH_PART) as resp:
            assert resp.status == 502
        ip = direct_deployment.unused_ip()
        site.ips.append(ip)
        await site.start_entry(ip)
        await site.wait_until_ready(ip)
        # From the first list on, without a wait for the next repetition.
        await site.list_entries()
        async with call(site, 2, 'bb', CRASH_PART, ip=ip) as resp:
            assert resp.status == 503
        assert crashes(site) == 1

    run_scenario(scenario, engines=4)


def test_lost_answer_of_a_target_that_goes_on_holds_nothing():
    """Guards against held prompts after answers that only broke off."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'head', 'head')
        for number in range(6):
            async with call(site, number, FIRST_PART) as resp:
                assert resp.status in (200, 502)
                await resp.read()
        async with call(site, 7, FIRST_PART) as resp:
            assert await resp.read() == direct_deployment.STREAM

    run_scenario(scenario)


def test_target_that_ends_as_planned_holds_nothing():
    """Guards against held prompts whenever a target leaves."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.MODEL_SERVICE)
        engine.gap_s = 0.1
        for item in site.engines_of(direct_deployment.MODEL_SERVICE):
            item.crash_part = ''
        engine.crash_part = FIRST_PART
        engine.is_leaving = True
        # Targets without load are chosen at random.
        for number in itertools.count():
            async with call(site, number, FIRST_PART) as resp:
                assert await resp.read() == direct_deployment.STREAM
            if engine.is_crashed and number >= 5:
                return

    run_scenario(scenario)


SERVICE = 's'
DATAGRAM_LOSS = 0.02


class Entries:
    """Holds of several entries with a shared clock and lossy messages."""

    def __init__(self, count, rng=None):
        self.now_s = 0.0
        self.rng = rng
        self.messages = 0
        self.entries = []
        for _ in range(count):
            self.add()

    def add(self):
        """Add an entry that has just started."""
        number = len(self.entries)
        holds = prompt_holds.PromptHolds(
            lambda message: self._send(number, message, self.others(number)),
            lambda message, ip: self._send(number, message, [int(ip)]),
            lambda: self.now_s,
        )
        self.entries.append(holds)
        return holds

    def others(self, number):
        """Return the numbers of the other entries."""
        return [i for i in range(len(self.entries)) if i != number]

    def advance(self, seconds):
        """Let time pass; entries repeat their holds each second."""
        for _ in range(seconds):
            self.now_s += 1.0
            for number, holds in enumerate(self.entries):
                others = self.others(number)
                rng = self.rng or random.Random(number)
                some = rng.sample(others, min(3, len(others)))
                holds.repeat(
                    lambda message, n=number, ips=some: self._send(
                        n, message, ips
                    )
                )

    def _send(self, number, message, receivers):
        handlers = {
            messages.PromptSuspect: 'on_suspect',
            messages.PromptHold: 'on_hold',
            messages.PromptAnswered: 'on_answered',
        }
        for receiver in receivers:
            self.messages += 1
            if self.rng and self.rng.random() < DATAGRAM_LOSS:
                continue
            handle = handlers[type(message)]
            getattr(self.entries[receiver], handle)(message, str(number))


_CALL_IDS = itertools.count()


def routed(*parts):
    """Return a call with shared parts of a prompt."""
    return types.SimpleNamespace(
        service_name=SERVICE,
        prompt_parts=parts,
        call_id=f'c{next(_CALL_IDS)}',
    )


def is_sent(holds, *parts):
    """Return whether an entry sends a call with the parts to a target."""
    try:
        holds.admit(routed(*parts))
    except errors.Refusal as exc:
        assert exc.kind is errors.ErrorKind.PROMPT_HELD
        assert exc.retry_after_s > 0
        return False
    return True


@pytest.mark.parametrize('count', [1, 2, 35])
def test_one_crash_is_enough_for_all_entries(count):
    """Guards against one crash for each entry."""
    entries = Entries(count)
    entries.entries[0].record_answer(SERVICE, ['a'])
    entries.entries[0].record_crash(SERVICE, ['a', 'x'], 't1/1', True)
    for holds in entries.entries:
        assert not is_sent(holds, 'a', 'x')
        assert not is_sent(holds, 'b', 'x', 'c')
        assert is_sent(holds, 'a')
        assert is_sent(holds, 'a', 'b')


def test_hold_of_one_service_does_not_hold_another():
    """Guards against parts that are held for other models."""
    entries = Entries(1)
    (holds,) = entries.entries
    holds.record_crash('other', ['x'], 't1/1', True)
    assert is_sent(holds, 'x')


def test_part_that_another_entry_has_seen_answered_is_not_held():
    """Guards against sound prompts that are held with the suspect's."""
    entries = Entries(5)
    entries.entries[3].record_answer(SERVICE, ['a'])
    entries.entries[0].record_crash(SERVICE, ['a', 'x'], 't1/1', True)
    entries.advance(1)
    for holds in entries.entries:
        assert is_sent(holds, 'a')
        assert is_sent(holds, 'a', 'b')
        assert not is_sent(holds, 'b', 'x')


def test_calls_with_some_of_the_suspected_parts_are_sent():
    """Guards against sound calls that are held for one of their parts."""
    entries = Entries(2)
    one, two = entries.entries
    one.record_crash(SERVICE, ['a', 'x'], 't1/1', True)
    assert is_sent(one, 'a', 'b')
    assert is_sent(two, 'x')
    assert not is_sent(two, 'a', 'x')
    # An answer on one of them leaves the other.
    two.record_answer(SERVICE, ['a', 'b'])
    assert not is_sent(one, 'x')


def test_second_crash_narrows_the_suspected_parts():
    """Guards against new first parts that hide the part that crashes."""
    entries = Entries(2)
    one, two = entries.entries
    one.record_crash(SERVICE, ['a', 'x'], 't1/1', True)
    two.record_crash(SERVICE, ['b', 'x'], 't2/1', True)
    assert not is_sent(one, 'c', 'x')
    assert is_sent(one, 'a')
    assert is_sent(two, 'b')


def test_two_suspects_of_one_crash_are_held_apart():
    """Guards against a part that two calls at the target shared by chance."""
    entries = Entries(1)
    (holds,) = entries.entries
    holds.record_crash(SERVICE, ['a', 'x'], 't1/1', True)
    holds.record_crash(SERVICE, ['a', 'y'], 't1/1', True)
    assert is_sent(holds, 'a')
    holds.record_answer(SERVICE, ['a', 'y'])
    assert is_sent(holds, 'y')
    assert not is_sent(holds, 'x')


@pytest.mark.parametrize('is_sound', [True, False])
def test_one_call_tries_the_parts_after_the_hold(is_sound):
    """Guards against parts held for ever, or tried by each entry."""
    entries = Entries(8)
    entries.entries[0].record_crash(SERVICE, ['x'], 't1/1', True)
    entries.advance(int(prompt_holds.HOLD_S) - 1)
    assert not any(is_sent(holds, 'x') for holds in entries.entries)
    entries.advance(2)
    trials = [holds for holds in entries.entries if is_sent(holds, 'x')]
    assert len(trials) == 1
    if is_sound:
        trials[0].record_answer(SERVICE, ['x'])
        assert all(is_sent(holds, 'x') for holds in entries.entries)
        return
    trials[0].record_crash(SERVICE, ['x'], 't2/1', True)
    entries.advance(int(prompt_holds.HOLD_S) + 2)
    assert not any(is_sent(holds, 'x') for holds in entries.entries)
    entries.advance(int(prompt_holds.HOLD_S))
    assert sum(is_sent(holds, 'x') for holds in entries.entries) == 1


def test_trial_that_is_turned_away_may_go_to_another_target():
    """Guards against a trial that is held by itself."""
    entries = Entries(2)
    (holds, _) = entries.entries
    holds.record_crash(SERVICE, ['x'], 't1/1', True)
    entries.advance(int(prompt_holds.HOLD_S) + 1)
    trial = routed('x')
    holds.admit(trial)
    holds.screen(trial)
    holds.admit(trial)
    assert not is_sent(holds, 'x')


def test_trial_is_not_taken_back_by_news_of_its_own_hold():
    """Guards against a trial that ends without a result."""
    entries = Entries(2)
    one, two = entries.entries
    one.record_crash(SERVICE, ['x'], 't1/1', True)
    entries.advance(int(prompt_holds.HOLD_S) + 1)
    trial = routed('x')
    one.admit(trial)
    taken_back = []
    one.listeners.append(
        lambda service, hold: taken_back.append(hold.holds(trial))
    )
    entries.advance(2)
    assert not any(taken_back)
    assert taken_back


def test_calls_that_crash_targets_before_a_head_are_held():
    """Guards against targets that send the head with the first event."""
    entries = Entries(4)
    entries.entries[0].record_answer(SERVICE, ['a'])
    for number in range(prompt_holds.WEAK_CRASHES):
        holds = entries.entries[number]
        assert is_sent(holds, 'a', 'x')
        for parts in (['a', 'x'], ['a', f'b{number}']):
            holds.record_crash(SERVICE, parts, f't{number}/1', False)
    for holds in entries.entries:
        assert not is_sent(holds, 'c', 'x')
        assert is_sent(holds, 'a', 'b0')


def test_waiting_calls_are_no_suspects_beside_one_that_was_begun():
    """Guards against held prompts of calls that waited at the targets."""
    entries = Entries(2)
    one, two = entries.entries
    for number in range(5):
        crash_id = f't{number}/1'
        two.record_crash(SERVICE, ['w'], crash_id, False)
        one.record_crash(SERVICE, ['x'], crash_id, True)
        one.record_crash(SERVICE, ['w'], crash_id, False)
    assert is_sent(one, 'w') and is_sent(two, 'w')
    assert not is_sent(two, 'x')


def test_answered_part_is_held_after_repeated_crashes():
    """Guards against a part that crashes targets after it was sound."""
    entries = Entries(3)
    for holds in entries.entries:
        holds.record_answer(SERVICE, ['a', 'x'])
    for number in range(prompt_holds.WEAK_CRASHES):
        holds = entries.entries[number]
        assert is_sent(holds, 'a', 'x')
        holds.record_crash(SERVICE, ['a', 'x'], f't{number}/1', True)
        holds.record_answer(SERVICE, ['a'])
    assert not any(is_sent(holds, 'x') for holds in entries.entries)
    assert all(is_sent(holds, 'a') for holds in entries.entries)


def test_numbers_of_parts_and_holds_are_bounded():
    """Guards against memory that grows with prompts and crashes."""
    entries = Entries(1)
    (holds,) = entries.entries
    for number in range(prompt_holds.MAX_ANSWERED_PARTS + 10):
        holds.record_answer(SERVICE, [f'a{number}'])
    for number in range(2000):
        holds.record_crash(SERVICE, [f'x{number}'], f't{number}/1', True)
        holds.record_crash(SERVICE, [f'w{number}'], f'u{number}/1', False)
    assert len(holds._answered) == prompt_holds.MAX_ANSWERED_PARTS
    assert len(holds._holds[SERVICE]) == prompt_holds.MAX_HOLDS
    assert len(holds._weak) <= prompt_holds.MAX_WEAK_PARTS
    assert not is_sent(holds, 'x1999')


def test_holds_end_up_dropped():
    """Guards against holds that are kept for ever."""
    entries = Entries(1)
    (holds,) = entries.entries
    holds.record_crash(SERVICE, ['x'], 't1/1', True)
    entries.now_s += prompt_holds.HOLD_S + prompt_holds.FORGET_S
    entries.advance(1)
    assert not holds._holds[SERVICE]


@pytest.mark.parametrize('count', [8, 35])
@pytest.mark.parametrize('seed', range(5))
def test_load_with_a_part_that_crashes_targets(seed, count):
    """Guards against targets that end one after the other, and lost calls.

    A twentieth of the calls has the part. Calls of 60 subjects begin with the
    subject's part; entries lose datagrams, and some start anew.
    """
    rng = random.Random(seed)
    entries = Entries(count, rng)
    crashes = refused = calls = 0
    for step in range(4000):
        if step % 40 == 39:
            entries.advance(1)
        if step % 500 == 499:
            entries.entries[rng.randrange(count)]._holds.clear()
        holds = rng.choice(entries.entries)
        subject = f'a{int(60 * rng.random() ** 2)}'
        if step > 200 and rng.random() < 0.05:
            parts = [subject, 'x'] if rng.random() < 0.5 else ['x', subject]
            if is_sent(holds, *parts):
                crashes += 1
                holds.record_crash(SERVICE, parts, f't{crashes}/1', True)
            continue
        calls += 1
        if is_sent(holds, subject):
            holds.record_answer(SERVICE, [subject])
        else:
            refused += 1
    # At most three calls may follow the fifth crash.
    assert crashes <= 8
    assert refused <= 0.005 * calls
