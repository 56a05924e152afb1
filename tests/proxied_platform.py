"""Stand-ins and entry processes whose links pass proxies."""

import base64

import msgspec

import fault_proxy
import wire_platform
import wire_store

NODE_PREFIX = "node/"


class Store(wire_store.Store):
    """A stand-in store that names the proxies as the addresses of entries.

    Attributes:
        link_proxies: The proxies before the peer ports, by name of the entry.
    """

    def __init__(self):
        super().__init__()
        self.link_proxies = {}

    def _apply(self, puts, removals):
        super()._apply([self._redirect(*put) for put in puts], removals)

    def _redirect(self, table, part, key, value):
        name = key.removeprefix(NODE_PREFIX)
        proxy = self.link_proxies.get(name)
        if table != "cluster" or key == name or proxy is None:
            return table, part, key, value
        fields = msgspec.msgpack.decode(base64.b64decode(value))
        fields[1] = proxy.address
        # An entry that writes its row listens.
        proxy.listen()
        data = msgspec.msgpack.encode(fields)
        return table, part, key, base64.b64encode(data).decode()


class Cluster(wire_platform.Cluster):
    """A cluster with a proxy before the peer port of each entry."""

    make_store = Store

    def start(self, number):
        """Starts an entry that others reach through its proxy."""
        name = f"e{number}"
        if name not in self.store.link_proxies:
            address = f"127.0.0.1:{self.ports[number][2]}"
            proxy = fault_proxy.Proxy(address, links=True)
            self.store.link_proxies[name] = proxy
        super().start(number)

    def stop(self):
        """Kills all entry processes and ends the proxies."""
        super().stop()
        for proxy in self.link_proxies:
            proxy.stop()

    @property
    def link_proxies(self):
        """The proxies before the peer ports, in the order of the entries."""
        return list(self.store.link_proxies.values())

    def read_epoch(self):
        """Returns the epoch in the store's leader row."""
        row = self.store.rows["cluster", "p", "leader"]
        return msgspec.msgpack.decode(base64.b64decode(row["value"]))[0]

    def set_link_mode(self, mode):
        """Sets the mode of the proxies of all links."""
        for proxy in self.link_proxies:
            proxy.mode = mode

    def silence_open_links(self):
        """Silences all open links for good, without an error."""
        for proxy in self.link_proxies:
            proxy.silence_open()
