"""An asyncio event loop on simulated time, with a simulated network and disk threads.

Nothing sleeps: when no callback is due, the clock jumps to the next timer. Connections are pairs of in-memory
transports whose bytes arrive after a delay, unless the link between two hosts is cut. Calls in an executor
run after the disk's delay.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any

from wheatring.tier.durable.exceptions import DiskError

DEFAULT_DELAY_SECONDS = 0.001  # of a link, in one direction
DISK_DELAY_SECONDS = 0.0005  # of a write and its sync
ARRIVAL_STEP_SECONDS = 1e-9  # minimum between two arrivals on one connection
SYN_RETRY_SECONDS = 1.0  # after which the system retries an unanswered connect


class _JumpingSelector(selectors.BaseSelector):
    """Never blocks: the time that the loop would wait for is added to its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is pending")
        self.now += max(timeout, 0.0)
        return []

    def get_map(self) -> Any:
        return self._keys


class Incarnation:
    """One incarnation of a host's process: its callbacks run only while it is alive and not frozen."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.alive = True
        self.frozen = False
        self.disk_full = False
        self.disk_delay = DISK_DELAY_SECONDS
        self._delayed: list[tuple[Callable[..., object], tuple[Any, ...], contextvars.Context]] = []

    def run(self, call: Callable[..., object], args: tuple[Any, ...], context: contextvars.Context) -> None:
        if not self.alive:
            return
        if self.frozen:
            self._delayed.append((call, args, context))
            return
        call(*args)

    def thaw(self, loop: asyncio.AbstractEventLoop) -> None:
        """Resume the process: callbacks that became due while it was frozen run next, in order."""
        self.frozen = False
        delayed, self._delayed = self._delayed, []
        for call, args, context in delayed:
            loop.call_soon(call, *args, context=context)


CURRENT_INCARNATION: contextvars.ContextVar[Incarnation | None] = contextvars.ContextVar(
    "CURRENT_INCARNATION", default=None
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """One loop for a whole simulated system."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)
        self.network = Network(self)
        self.faults: list[dict[str, Any]] = []  # unhandled exceptions of tasks and callbacks
        self.set_exception_handler(lambda _loop, context: self.faults.append(context))

    def time(self) -> float:
        return self._jumping_selector.now

    def _bind_to_incarnation(
        self, callback: Callable[..., object], args: tuple[Any, ...], context: contextvars.Context | None
    ) -> tuple[Callable[..., object], tuple[Any, ...], contextvars.Context]:
        context = contextvars.copy_context() if context is None else context
        incarnation = context.get(CURRENT_INCARNATION)
        if incarnation is None:
            return callback, args, context
        return incarnation.run, (callback, args, context), context

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        if self.is_closed():
            return asyncio.Handle(callback, args, self, context)
        call, call_args, ctx = self._bind_to_incarnation(callback, args, context)
        return super().call_soon(call, *call_args, context=ctx)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:
        call, call_args, ctx = self._bind_to_incarnation(callback, args, context)
        return super().call_at(when, call, *call_args, context=ctx)

    def run_in_executor(self, _executor: Any, func: Any, *args: Any) -> asyncio.Future[Any]:
        """Run a call of the disk's thread, which is lost if the process ends before."""
        future = self.create_future()
        incarnation = CURRENT_INCARNATION.get()

        def work() -> None:
            if future.cancelled():
                return
            try:
                if incarnation is not None and incarnation.disk_full:
                    raise DiskError("no space left")
                future.set_result(func(*args))
            except Exception as error:
                future.set_exception(error)

        self.call_later(incarnation.disk_delay if incarnation is not None else DISK_DELAY_SECONDS, work)
        return future

    async def create_connection(
        self, factory: Any, host: Any = None, port: Any = None, **_options: Any
    ) -> Any:
        return await self.network.connect(factory, host, port)

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **_options: Any) -> Any:
        return self.network.listen(factory, host, port)


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, host: str, peer_host: str, protocol: Any, context: Any) -> None:
        super().__init__()
        self.context = context
        self._network = network
        self.host = host
        self.peer_host = peer_host
        self.protocol = protocol
        self.peer: VirtualTransport
        self.closed = False
        self._ending = False
        self._paused: list[bytes] | None = None

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        if self.closed or self._ending:
            return
        self._network.deliver(self, self.peer, bytes(data))

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed or self._ending

    def pause_reading(self) -> None:
        if self._paused is None:
            self._paused = []

    def resume_reading(self) -> None:
        held_back, self._paused = self._paused, None
        for data in held_back or ():
            self.received(data)

    def close(self) -> None:
        if not self.is_closing():
            self._ending = True
            self._network.finish(self, self.peer)
            self._network.loop.call_soon(self.lost, None, context=self.context)

    def abort(self) -> None:
        if not self.closed:
            self._network.finish(self, self.peer, reset=True)
            self._network.loop.call_soon(self.lost, None, context=self.context)

    def received(self, data: bytes) -> None:
        if self.closed:
            return
        if self._paused is not None:
            self._paused.append(data)
        else:
            self.protocol.data_received(data)

    def ended(self, reset: bool) -> None:
        """Handle the close of the other end."""
        if self.closed:
            return
        if not reset and not self._ending and self.protocol.eof_received():
            return
        self._network.finish(self, self.peer)
        self.lost(ConnectionResetError() if reset else None)

    def lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self._network.transports.discard(self)
            self.protocol.connection_lost(error)


class VirtualServer:
    """A listening address."""

    def __init__(self, network: Network, address: tuple[str, int], factory: Callable[[], Any]) -> None:
        self.network = network
        self.context = contextvars.copy_context()
        self.address = address
        self.factory = factory

    def close(self) -> None:
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]


class Network:
    """Hosts, the links between them, and their servers."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.servers: dict[tuple[str, int], VirtualServer] = {}
        self.transports: set[VirtualTransport] = set()
        self.cuts: set[tuple[str, str]] = set()  # (source, target) links that pass no bytes
        self.delay: Callable[[str, str], float] = lambda _source, _target: DEFAULT_DELAY_SECONDS
        self._last_arrival: dict[VirtualTransport, float] = {}
        self._delayed: dict[tuple[str, str], list[tuple[VirtualTransport, Callable[[], None]]]] = {}

    # Links

    def cut(self, source: str, target: str) -> None:
        """Hold back bytes from one host to another until the link is healed."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Restore a link: bytes that were held back arrive."""
        self.cuts.discard((source, target))
        for transport, arrive in self._delayed.pop((source, target), []):
            self._arrive((source, target), transport, arrive)

    def kill(self, host: str) -> None:
        """End all connections of a host: its peers get resets, and it receives no more data."""
        for address in [address for address in self.servers if address[0] == host]:
            del self.servers[address]
        for transport in [t for t in self.transports if t.host == host]:
            transport.closed = True
            self.transports.discard(transport)
            self.finish(transport, transport.peer, reset=True)

    # Bytes

    def _send(self, source: VirtualTransport, target: VirtualTransport, call: Callable[[], None]) -> None:
        if self.loop.is_closed():
            return
        link = (source.host, target.host)
        if link in self.cuts:
            self._delayed.setdefault(link, []).append((target, call))
            return
        self._arrive(link, target, call)

    def _arrive(self, link: tuple[str, str], target: VirtualTransport, call: Callable[[], None]) -> None:
        """Schedule an arrival after the previous one, as the loop does not keep the order of equal times."""
        due = self.loop.time() + self.delay(*link)
        due = max(due, self._last_arrival.get(target, 0.0) + ARRIVAL_STEP_SECONDS)
        self._last_arrival[target] = due
        self.loop.call_at(due, call, context=target.context)

    def deliver(self, source: VirtualTransport, target: VirtualTransport, data: bytes) -> None:
        """Send bytes over a link."""
        self._send(source, target, lambda: target.received(data))

    def finish(self, source: VirtualTransport, target: VirtualTransport, reset: bool = False) -> None:
        """Send the end of a connection over its link."""
        self._send(source, target, lambda: target.ended(reset))

    # Connections

    def listen(self, factory: Callable[[], Any], host: str, port: int) -> VirtualServer:
        """Listen, as the loop's `create_server`."""
        server = VirtualServer(self, (host, port), factory)
        self.servers[(host, port)] = server
        return server

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        """Connect, as the loop's `create_connection`, from the host of the current incarnation."""
        incarnation = CURRENT_INCARNATION.get()
        source = incarnation.host if incarnation is not None else "outside"
        while (source, host) in self.cuts or (host, source) in self.cuts:
            await asyncio.sleep(SYN_RETRY_SECONDS)
        await asyncio.sleep(2 * self.delay(source, host))
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        protocol = factory()
        near = VirtualTransport(self, source, host, protocol, contextvars.copy_context())
        accepted = server.context.copy().run(server.factory)
        far = VirtualTransport(self, host, source, accepted, server.context)
        near.peer, far.peer = far, near
        self.transports |= {near, far}
        self.loop.call_soon(accepted.connection_made, far, context=server.context)
        protocol.connection_made(near)
        return near, protocol
