"""The handshake: a connect's way to the accept queue, and what becomes of one that gets no answer."""

from __future__ import annotations

from wheatring.lab.net.links import OPEN, Stream
from wheatring.lab.net.sockets import CONNECTED, CONNECTING, Socket, SocketHost

MAX_CONNECT_TRIES = 7  # a connect is asked for anew after 1, 3, 7, ... s; after the last one it has timed out


def start_connect(client: Socket) -> None:
    """Begin a connect: its first packet leaves at once."""
    _send_syn(client, client.process.time.instant, 0)


def _send_syn(client: Socket, since: float, count: int) -> None:
    if client.closed or client.state != CONNECTING or client.broken:
        return
    if count == MAX_CONNECT_TRIES:
        client.timed_out()
        return
    process = client.process
    assert client.remote is not None
    host = process.network.host(client.remote[0])
    link = process.host.link(host)
    if link.silent:
        _retry_later(client, since, count)
    else:
        process.time.at(process.time.instant + link.delay(), _receive_syn, client, host, since, count, False)


def _retry_later(client: Socket, since: float, count: int) -> None:
    client.process.time.at(since + 2 ** (count + 1) - 1, _send_syn, client, since, count + 1)


def _receive_syn(client: Socket, host: SocketHost, since: float, count: int, waited: bool) -> None:
    """Take a connect at the host: it is refused, dropped or answered."""
    time = client.process.time
    assert client.remote is not None
    port = client.remote[1]
    listener = host.listeners.get(port)
    back = host.link(client.process.host)
    late = host.connect_delays.get(port, 0.0)
    if late and not waited:
        time.at(time.instant + late, _receive_syn, client, host, since, count, True)
    elif back.silent:
        _retry_later(client, since, count)
    elif listener is None or port in host.refusing:
        if port in host.on_refused:
            host.on_refused[port](client.process.host.name)
        time.at(time.instant + back.delay(), client.refused)
    elif port in host.full or len(listener.queue) + listener.half_open > listener.backlog:
        _retry_later(client, since, count)
    else:
        listener.half_open += 1
        time.at(time.instant + back.delay(), _receive_syn_ack, client, listener)


def _receive_syn_ack(client: Socket, listener: Socket) -> None:
    """Take the host's answer at the client, which is connected if it still wants to be."""
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


def complete_handshake(server: Socket) -> None:
    """Take the client's last packet of the handshake at the host: the connection waits to be accepted."""
    listener = server.listener
    assert listener is not None
    server.end_handshake()
    if listener.closed:
        server.drop()
    else:
        listener.queue.append(server)
        listener.wake()
