"""A typical reverse proxy with `twisted.web`: a resource, an agent, persistent connections.

    python -m wheatring.lab.live.bench.web HOST UPSTREAM_HOST UPSTREAM_PORT

prints `listening port=PORT`. `twisted.web.proxy.ReverseProxyResource` would be shorter but opens a new
connection for each request, which would mostly measure connects. There is no access log, as the sidecar
has none.
"""

from __future__ import annotations

import sys
import warnings
from typing import Any

from twisted.internet import reactor as installed
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

reactor: Any = installed
HOP_BY_HOP = {
    b"connection",
    b"content-length",
    b"host",
    b"keep-alive",
    b"transfer-encoding",
    b"te",
    b"upgrade",
}


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    return Headers(
        {name: values for name, values in headers.getAllRawHeaders() if name.lower() not in HOP_BY_HOP}
    )


class Proxy(Resource):
    """Forwards each request to the upstream through an agent."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self, agent: Any, upstream: bytes) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.agent = agent
        self.upstream = upstream

    def render(self, request: Any) -> int:
        """Forward a request asynchronously."""
        headers = forwarded_headers(request.requestHeaders)
        self.agent.request(request.method, self.upstream + request.uri, headers).addCallback(
            self.forward_response, request
        ).addErrback(self.fail, request)
        return NOT_DONE_YET

    def forward_response(self, response: Any, request: Any) -> Any:
        """Copy the status and headers of the upstream's response, and read its body."""
        request.setResponseCode(response.code)
        for name, values in forwarded_headers(response.headers).getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        return readBody(response).addCallback(self.finish, request)

    def finish(self, body: bytes, request: Any) -> None:
        """Write the complete body to the client."""
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()

    def fail(self, failure: object, request: Any) -> None:  # noqa: ARG002 - Twisted's signature
        """Respond with 502 if the upstream fails."""
        request.setResponseCode(502)
        request.finish()


class QuietSite(Site):
    """A site without an access log."""

    noisy = False

    def log(self, request: object) -> None:
        """Do nothing, which also saves formatting the line."""


def main() -> None:
    """Run the proxy until the process is terminated."""
    warnings.simplefilter("ignore", DeprecationWarning)  # the agent emits one for each response
    pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
    pool.maxPersistentPerHost = 64
    upstream = f"http://{sys.argv[2]}:{sys.argv[3]}".encode()
    agent = Agent(reactor, pool=pool)  # type: ignore[no-untyped-call]
    site: Any = QuietSite(Proxy(agent, upstream))  # type: ignore[no-untyped-call]
    port = reactor.listenTCP(0, site, interface=sys.argv[1], backlog=511)
    print(f"listening port={port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
