"""Execution of attempts by a machine, from their acceptance to their outcome.

An attempt waits for a slot, does half of its work, makes its calls to the next tier one after another, and
does the other half; without calls its work is one piece. It keeps the slot until its end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from math import exp, log, sqrt

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.models.attempt_execution import AttemptExecution
from wheatring.lab.models.cpu import Cpu
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt
from wheatring.lab.models.service_rate import ServiceRate

SERVED = AttemptOutcome.SERVED  # a module constant, as the lookup of an enum member is slow
MIN_CALL_TIME = 0.001  # seconds left for a call; an attempt with less left fails


class AttemptExecutor:
    """The slots, the queue and the cores of one machine.

    Parameters
    ----------
    spec
        The figures of the machine.
    services
        The parts of the world that the machine uses.

    Attributes
    ----------
    in_flight
        The attempts in flight, in the order of arrival.
    busy_slots
        The number of attempts that have a slot.
    is_draining
        The machine rejects new attempts.
    """

    def __init__(self, spec: MachineSpec, services: MachineServices) -> None:
        self.spec = spec
        self.name = spec.node.name
        self.kind = kind = spec.kind
        self.timers = timers = services.timers
        self.random = services.random
        self.recorder = services.recorder
        self.call_next_tier = services.call_next_tier
        # Only attempts at the first tier have effects.
        self.deduplicator = services.deduplicator if spec.node.tier == 0 else None
        mean_calls = spec.mean_calls if services.call_next_tier is not None else 0.0
        self._certain_calls = int(mean_calls)
        self._extra_call_chance = mean_calls - int(mean_calls)
        self._noise_sigmas = [sqrt(log(1.0 + each.attempt_noise**2)) for each in spec.classes]
        self.in_flight: dict[ReceivedAttempt, AttemptExecution] = {}
        self.busy_slots = 0
        self.is_draining = False
        self._queue: deque[AttemptExecution] = deque()
        self._deferred: deque[Callable[[], None]] = deque()  # events that the stalled machine has not handled
        self.cpu: Cpu[AttemptExecution] = Cpu(timers, kind.cores, spec.node.speed, self._on_work_done)
        self.service_rate = ServiceRate(
            timers, kind, spec.tier, self.random, self.cpu, self.in_flight, self._on_choked, self._on_resumed
        )
        self.faults = self.service_rate.faults

    @property
    def queue_length(self) -> int:
        """The number of attempts queued for a slot."""
        return len(self._queue)

    # Acceptance

    def create(self, attempt: ReceivedAttempt, origin: OriginalRequest) -> AttemptExecution:
        """Return the execution of an attempt, and draw its work."""
        work = origin.size * self.spec.tier.work
        sigma = self._noise_sigmas[origin.class_index]
        if sigma > 0.0:
            work *= exp(sigma * (self.random.gauss(0.0, 1.0) - 0.5 * sigma))
        return AttemptExecution(attempt, origin, work)

    def submit(self, execution: AttemptExecution) -> None:
        """Accept or reject an attempt; while the machine is stalled, defer that."""
        if self.service_rate.is_stalled:
            self.in_flight[execution.attempt] = execution
            self._deferred.append(partial(self._admit, execution))
        else:
            self._admit(execution)

    def reject(self, attempt: ReceivedAttempt) -> None:
        """Reject an attempt."""
        if not attempt.is_abandoned:
            attempt.reply(AttemptOutcome.REJECTED, "")
            self.recorder.ended(self.name, attempt.ident)

    def abandon(self, attempt: ReceivedAttempt) -> None:
        """Handle the caller's disconnect. The work continues."""
        if attempt in self.in_flight and not attempt.is_abandoned:
            attempt.is_abandoned = True
            self.recorder.ended(self.name, attempt.ident)

    def discard_all(self) -> None:
        """Discard all attempts without a reply as the process ends, and record the work done for them."""
        for execution in self.in_flight.values():
            execution.is_over = True
            partial_work = 0.0
            if execution.current_work:
                partial_work = execution.current_work - self.cpu.remaining(execution.virtual_finish)
            ident = execution.attempt.ident
            self.recorder.worked(self.name, ident, execution.done_work + partial_work)
            if not execution.attempt.is_abandoned:
                self.recorder.ended(self.name, ident)
        self.in_flight.clear()
        self._queue.clear()
        self._deferred.clear()
        self.busy_slots = 0

    def _admit(self, execution: AttemptExecution) -> None:
        attempt, error_share, kind = execution.attempt, self.faults.error_share, self.kind
        has_slot = self.busy_slots < kind.slots
        if self.is_draining or not (has_slot or len(self._queue) < kind.queue):
            self.in_flight.pop(attempt, None)
            self.reject(attempt)
            return
        self.in_flight[attempt] = execution
        if kind.knee <= len(self.in_flight):
            self.service_rate.update()
        if error_share > 0.0 and self.random.random() < error_share:
            self._end(execution, AttemptOutcome.ERROR)
        elif has_slot:
            self._start(execution)
        else:
            self._queue.append(execution)

    # Execution

    def _start(self, execution: AttemptExecution) -> None:
        """Start to run an attempt in a slot."""
        self.busy_slots += 1
        if self.deduplicator is not None:
            self.deduplicator.attempt_started(self.name, execution.attempt.ident, execution.origin)
        reset_share = self.faults.reset_share
        execution.ends_in_reset = reset_share > 0.0 and self.random.random() < reset_share
        execution.calls_left = self._certain_calls
        if self._extra_call_chance > 0.0 and self.random.random() < self._extra_call_chance:
            execution.calls_left += 1
        work = execution.remaining_work
        self._run_work(execution, 0.5 * work if execution.calls_left or execution.ends_in_reset else work)

    def _run_work(self, execution: AttemptExecution, work: float) -> None:
        execution.current_work = work
        execution.remaining_work -= work
        execution.virtual_finish = self.cpu.add(work, execution)

    def _on_work_done(self, execution: AttemptExecution) -> None:
        """Handle the end of a piece of an attempt's work."""
        if execution.is_over:
            return
        execution.done_work += execution.current_work
        execution.current_work = 0.0
        if execution.ends_in_reset:
            self._finish(execution, AttemptOutcome.RESET)
        elif execution.calls_left:
            self._call(execution)
        elif execution.remaining_work > 0.0:
            self._run_work(execution, execution.remaining_work)
        else:
            self._finish(execution, self._draw_outcome())

    def _draw_outcome(self) -> AttemptOutcome:
        malformed_share, error_rate = self.faults.malformed_share, self.kind.error_rate
        if error_rate > 0.0 and self.random.random() < error_rate:
            return AttemptOutcome.ERROR
        if malformed_share > 0.0 and self.random.random() < malformed_share:
            return AttemptOutcome.MALFORMED
        return SERVED

    def _call(self, execution: AttemptExecution) -> None:
        """Make the next call to the next tier, if there is time for it."""
        attempt = execution.attempt
        execution.calls_left -= 1
        time_left = self.spec.classes[execution.origin.class_index].deadline
        if self.spec.passes_deadline:
            time_left = (attempt.time_left or time_left) - (self.timers.now() - attempt.arrived_at)
        if self.call_next_tier is None or time_left < MIN_CALL_TIME:
            self._finish(execution, AttemptOutcome.ERROR)
        else:
            self.call_next_tier(attempt, time_left, partial(self._on_call_end, execution))

    def _on_call_end(self, execution: AttemptExecution, is_served: bool) -> None:
        """Handle the end of a call of an attempt, which may be over."""
        if execution.is_over:
            return
        if self.service_rate.is_stalled:
            self._deferred.append(partial(self._on_call_end, execution, is_served))
        elif not is_served:
            self._finish(execution, AttemptOutcome.ERROR)
        elif execution.calls_left:
            self._call(execution)
        else:
            self._run_work(execution, execution.remaining_work)

    def _finish(self, execution: AttemptExecution, outcome: AttemptOutcome) -> None:
        """Give the slot to the next attempt before the reply, which may cause a new attempt."""
        self.busy_slots -= 1
        if self._queue:
            self._start(self._queue.popleft())
        self._end(execution, outcome)

    def _end(self, execution: AttemptExecution, outcome: AttemptOutcome) -> None:
        attempt, recorder, name = execution.attempt, self.recorder, self.name
        execution.is_over = True
        del self.in_flight[attempt]
        if self.kind.knee <= len(self.in_flight) + 1:
            self.service_rate.update()
        recorder.worked(name, attempt.ident, execution.done_work)
        if not attempt.is_abandoned:
            stamp = recorder.made(name, attempt.ident) if outcome is SERVED else ""
            # Recorded before the reply, which may cause the next attempt of this request synchronously.
            recorder.ended(name, attempt.ident)
            attempt.reply(outcome, stamp)

    # Events of the machine

    def _on_choked(self) -> None:
        self.recorder.choked(self.name)

    def _on_resumed(self) -> None:
        """Handle events deferred during a stall, until the process ends or the machine stalls again."""
        while self._deferred and not self.service_rate.is_stalled:
            self._deferred.popleft()()
