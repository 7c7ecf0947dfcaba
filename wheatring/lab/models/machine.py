"""A node's machine: its process, its connections, and the attempts that it receives."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lab.models.attempt_execution import AttemptExecution
from wheatring.lab.models.attempt_executor import AttemptExecutor
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.models.received_attempt import ReceivedAttempt
from wheatring.lab.models.slow_start import CapacityRamp, OverloadDetector


class Machine:
    """One node's machine and its process, which does not run before `start`.

    It knows no sockets: a server passes on connections and attempts. The machine records all that becomes
    of an attempt, except its arrival and its rejection, which the server records. Instants and durations are
    seconds; work is in seconds on a standard core.

    Parameters
    ----------
    spec
        The figures of the machine.
    services
        The parts of the world that it uses.

    Attributes
    ----------
    on_crash
        Called when the process has crashed by overload: its connections are to be reset, and it stays down.
    running
        Whether a process runs.
    has_crashed
        Whether the last process has crashed.
    started_at
        The instant at which the process was started; 0: long ago.
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
        """Start a process, unless one runs; without slow start it counts as running for long."""
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
        """Accept nothing new from now on, and finish what is in flight."""
        self._executor.is_draining = True

    def stop(self) -> None:
        """End the process at once, with all its attempts.

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
            The seconds that the first request loses to the handshake beside the round trips. None if the
            connection is not accepted; `disconnect` is not called for it then.
        """
        if not self.running or not self._service_rate.connect():
            return None
        work = self.spec.tier.handshake_work
        if work <= 0.0:
            return 0.0
        self._cpu.add(work, None)
        return self._service_rate.duration_of(work)

    def disconnect(self) -> None:
        """Release an accepted connection, which has ended in whatever way."""
        self._service_rate.disconnect()

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._service_rate.connections

    @property
    def is_full(self) -> bool:
        """Whether the table of connections is full: it would not accept another one."""
        return self._service_rate.is_full

    # Attempts

    def receive(self, attempt: ReceivedAttempt) -> None:
        """Process an attempt. The reply may come from within this call."""
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
        """Handle that the caller of an attempt has closed its connection. The work goes on, for nobody."""
        self._executor.abandon(attempt)

    def _is_overloaded_by(self, work: float) -> bool:
        """Return whether an attempt with this work overloads the process, which is possible in slow start."""
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
        """The number of attempts that wait for a slot."""
        return self._executor.queue_length

    @property
    def malformed_share(self) -> float:
        """Share of the responses that are malformed at present."""
        return self.faults.malformed_share

    @property
    def work_done(self) -> float:
        """Work done since the machine was created, also for handshakes."""
        return self._cpu.work_done()

    def capacity(self) -> float:
        """Return what the machine can do at present with all that slows it down, in work a second."""
        return self._cpu.unhindered_capacity() * self._cpu.factor if self.running else 0.0
