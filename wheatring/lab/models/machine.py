"""The machine of a node: its process, its connections, and the attempts that it receives."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lab.models.attempt_execution import AttemptExecution
from wheatring.lab.models.attempt_executor import AttemptExecutor
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.models.received_attempt import ReceivedAttempt
from wheatring.lab.models.slow_start import CapacityRamp, OverloadDetector


class Machine:
    """The machine of one node and its process, which does not run before `start`.

    It has no sockets: a server passes connections and attempts to it. The machine records all events of an
    attempt, except its arrival and its rejection, which the server records. Instants and durations are
    seconds; work is in seconds on a standard core.

    Parameters
    ----------
    spec
        The figures of the machine.
    services
        The parts of the world that the machine uses.

    Attributes
    ----------
    on_crash
        Called after the process has crashed by overload: the server resets its connections.
    running
        Whether a process runs.
    has_crashed
        Whether the last process has crashed.
    started_at
        The instant at which the process was started; 0 if long ago.
    faults
        The faults of the machine.
    """

    def __init__(self, spec: MachineSpec, services: MachineServices) -> None:
        self.name = spec.node.name
        self.spec = spec
        self.kind = spec.kind
        self.timers = services.timers
        self.correlation_table = services.correlation_table
        self.recorder = services.recorder
        self.on_crash: Callable[[], object] = lambda: None
        self.running = self.has_crashed = False
        self.started_at = 0.0
        self._overload: OverloadDetector | None = None  # during slow start
        self._executor = AttemptExecutor(spec, services)
        self._cpu = self._executor.cpu
        self._service_rate = self._executor.service_rate
        self.faults = self._executor.faults

    # The process

    def start(self, slow_start: bool) -> None:
        """Start the process, unless it runs; without slow start it is considered started long ago."""
        if self.running:
            return
        now = self.timers.now()
        self.running, self.has_crashed = True, False
        self._executor.is_draining = False
        self.started_at = now if slow_start else 0.0
        ramp = None
        if slow_start and self.kind.cold > 0.0 and self.kind.cold_from < 1.0:
            ramp = CapacityRamp(now, self.kind.cold_from, self.kind.cold)
            self._overload = OverloadDetector(self.spec.rules)
        self._cpu.restart(ramp)
        self._service_rate.start()
        self.recorder.node_up(self.name, self._cpu.unhindered_capacity)

    def drain(self) -> None:
        """Reject new attempts from now on, and finish those in flight."""
        self._executor.is_draining = True

    def stop(self) -> None:
        """End the process immediately, with all its attempts.

        The server resets the connections, and still calls `disconnect` for each.
        """
        if not self.running:
            return
        self.running = False
        self._executor.discard_all()
        self._overload = None
        self._cpu.restart(None)
        self._service_rate.stop()
        self.recorder.node_down(self.name)

    def _crash(self) -> None:
        self.has_crashed = True
        self.recorder.note("fell", node=self.name, held=len(self.in_flight))
        self.stop()
        self.on_crash()

    # Connections

    def connect(self) -> float | None:
        """Accept a connection.

        Returns
        -------
        float | None
            Seconds of the handshake in addition to the round trips. None if the connection is not accepted;
            `disconnect` must not be called for it then.
        """
        if not self.running or not self._service_rate.connect():
            return None
        work = self.spec.tier.handshake_work
        if work <= 0.0:
            return 0.0
        self._cpu.add(work, None)
        return self._service_rate.duration_of(work)

    def disconnect(self) -> None:
        """Release an accepted connection that has ended."""
        self._service_rate.disconnect()

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._service_rate.connections

    @property
    def is_full(self) -> bool:
        """Whether the connection table is full, so that no connection is accepted."""
        return self._service_rate.is_full

    # Attempts

    def receive(self, attempt: ReceivedAttempt) -> None:
        """Process an attempt. The reply may be made synchronously."""
        if not self.running:
            self.recorder.ended(self.name, attempt.ident)
            return
        origin = self.correlation_table.by_id.get(attempt.ident)
        if origin is None:
            self._executor.reject(attempt)
            return
        execution = self._executor.create(attempt, origin)
        work = execution.remaining_work
        self.recorder.offered(self.name, attempt.sidecar, work)
        if self._is_overloaded_by(work):
            self.in_flight[attempt] = execution
            self._crash()
        else:
            self._executor.submit(execution)

    def abandon(self, attempt: ReceivedAttempt) -> None:
        """Handle the disconnect of an attempt's caller. The work continues."""
        self._executor.abandon(attempt)

    def _is_overloaded_by(self, work: float) -> bool:
        """Return whether an attempt with this work overloads the process, which requires slow start."""
        if self._overload is None:
            return False
        ramp, now = self._cpu.ramp, self.timers.now()
        if ramp is None or now >= ramp.end:
            self._overload = None
            return False
        return self._overload.offer(now, work, self._cpu.unhindered_capacity())

    # Figures

    @property
    def in_flight(self) -> dict[ReceivedAttempt, AttemptExecution]:
        """The attempts in flight."""
        return self._executor.in_flight

    @property
    def busy_slots(self) -> int:
        """The number of attempts that have a slot."""
        return self._executor.busy_slots

    @property
    def queue_length(self) -> int:
        """The number of attempts queued for a slot."""
        return self._executor.queue_length

    @property
    def malformed_share(self) -> float:
        """Share of the responses that are malformed at present."""
        return self.faults.malformed_share

    @property
    def work_done(self) -> float:
        """Work done since the machine was created, including handshakes."""
        return self._cpu.work_done()

    def capacity(self) -> float:
        """Return the present capacity with all reductions, in work a second."""
        return self._cpu.unhindered_capacity() * self._cpu.factor if self.running else 0.0
