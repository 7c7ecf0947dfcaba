"""The handshake: a connect's way to the accept queue, and what becomes of one that gets no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.lab.net.links import OPEN, Stream

if TYPE_CHECKING:
    from wheatring.lab.net.network import Host
    from wheatring.lab.net.sockets import Socket

NEW, LISTENING, CONNECTING, CONNECTED = range(4)  # states of a socket
TRIES = 7  # a connect is asked for anew after 1, 3, 7, ... s; after the last one it has timed out


def begin(client: Socket) -> None:
    _ask(client, client.process.time.instant, 0)


def _ask(client: Socket, since: float, count: int) -> None:
    if client.closed or client.state != CONNECTING or client.broken:
        return
    if count == TRIES:
        client.timed_out()
        return
    process = client.process
    assert client.remote is not None
    host = process.network.host(client.remote[0])
    link = process.host.link(host)
    if link.silent:
        _unheard(client, since, count)
    else:
        process.time.at(process.time.instant + link.delay(), _asked, client, host, since, count, False)


def _unheard(client: Socket, since: float, count: int) -> None:
    client.process.time.at(since + 2 ** (count + 1) - 1, _ask, client, since, count + 1)


def _asked(client: Socket, host: Host, since: float, count: int, waited: bool) -> None:
    """It is at the host."""
    time = client.process.time
    assert client.remote is not None
    port = client.remote[1]
    listener = host.listeners.get(port)
    back = host.link(client.process.host)
    late = host.late.get(port, 0.0)
    if late and not waited:
        time.at(time.instant + late, _asked, client, host, since, count, True)
    elif back.silent:
        _unheard(client, since, count)
    elif listener is None or port in host.refusing:
        if port in host.on_refused:
            host.on_refused[port](client.process.host.name)
        time.at(time.instant + back.delay(), client.refused)
    elif port in host.full or len(listener.queue) + listener.half_open > listener.backlog:
        _unheard(client, since, count)
    else:
        listener.half_open += 1
        time.at(time.instant + back.delay(), _answered, client, listener)


def _answered(client: Socket, listener: Socket) -> None:
    """The host's answer is at the client: it is connected, if it still wants to be."""
    if client.closed or client.state != CONNECTING or client.broken:
        listener.half_open -= 1
        return
    process, other = client.process, listener.process
    server = listener.child(client)
    there, back = process.host.link(other.host), other.host.link(process.host)
    plan = process.network.plan
    rest = (plan.window, plan.segment, process.network.give_up)
    client.out = server.into = Stream((client, server), there, back, *rest)
    server.out = client.into = Stream((server, client), back, there, *rest)
    client.state = server.state = CONNECTED
    client.out.put(OPEN)
    client.wake()


def complete(server: Socket) -> None:
    """The client's last word of the handshake is at the host."""
    listener = server.door
    assert listener is not None
    server.unopened()
    if listener.closed:
        server.drop()
    else:
        listener.queue.append(server)
        listener.wake()
