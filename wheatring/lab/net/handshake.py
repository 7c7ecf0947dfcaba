"""TCP handshake: SYN, SYN-ACK and ACK, the accept queue, and the retries of a SYN without an answer."""

from __future__ import annotations

from wheatring.lab.net.links import OPEN, Stream
from wheatring.lab.net.sockets import CONNECTED, CONNECTING, Socket, SocketHost

MAX_CONNECT_TRIES = (
    7  # SYNs are sent after 0, 1, 3, 7, ... s; when the next would be due, the connect times out
)


def start_connect(client: Socket) -> None:
    """Begin a connect by sending its first SYN."""
    _send_syn(client, client.process.time.instant, 0)


def _send_syn(client: Socket, started_at: float, tries: int) -> None:
    if client.closed or client.state != CONNECTING or client.broken:
        return
    if tries == MAX_CONNECT_TRIES:
        client.handle_timeout()
        return
    process = client.process
    assert client.remote is not None
    host = process.network.host(client.remote[0])
    link = process.host.link(host)
    if link.partitioned:
        _schedule_retry(client, started_at, tries)
    else:
        process.time.at(
            process.time.instant + link.delay(), _receive_syn, client, host, started_at, tries, False
        )


def _schedule_retry(client: Socket, started_at: float, tries: int) -> None:
    client.process.time.at(started_at + 2 ** (tries + 1) - 1, _send_syn, client, started_at, tries + 1)


def _receive_syn(client: Socket, host: SocketHost, started_at: float, tries: int, is_delayed: bool) -> None:
    """Handle a SYN at the host: refuse it, drop it, or answer it with a SYN-ACK."""
    time = client.process.time
    assert client.remote is not None
    port = client.remote[1]
    listener = host.listeners.get(port)
    reply_link = host.link(client.process.host)
    delay = host.connect_delays.get(port, 0.0)
    if delay and not is_delayed:
        time.at(time.instant + delay, _receive_syn, client, host, started_at, tries, True)
    elif reply_link.partitioned:
        _schedule_retry(client, started_at, tries)
    elif listener is None or port in host.refusing:
        if port in host.on_refused:
            host.on_refused[port](client.process.host.name)
        time.at(time.instant + reply_link.delay(), client.handle_refused)
    elif port in host.full or len(listener.queue) + listener.half_open > listener.backlog:
        _schedule_retry(client, started_at, tries)
    else:
        listener.half_open += 1
        time.at(time.instant + reply_link.delay(), _receive_syn_ack, client, listener)


def _receive_syn_ack(client: Socket, listener: Socket) -> None:
    """Handle the SYN-ACK at the client, unless the connect has been abandoned meanwhile."""
    if client.closed or client.state != CONNECTING or client.broken:
        listener.half_open -= 1
        return
    process, server_process = client.process, listener.process
    server = listener.create_accepted(client)
    outgoing, incoming = process.host.link(server_process.host), server_process.host.link(process.host)
    plan = process.network.plan
    limits = (plan.window, plan.segment, process.network.give_up_seconds)
    client.outgoing = server.incoming = Stream((client, server), outgoing, incoming, *limits)
    server.outgoing = client.incoming = Stream((server, client), incoming, outgoing, *limits)
    client.state = server.state = CONNECTED
    client.outgoing.transmit(OPEN)
    client.wake()


def complete_handshake(server: Socket) -> None:
    """Handle the final ACK of the handshake at the host: add the connection to the accept queue."""
    listener = server.listener
    assert listener is not None
    server.end_handshake()
    if listener.closed:
        server.close_connection()
    else:
        listener.queue.append(server)
        listener.wake()
