"""Tests for the cluster configuration and its change log."""

import collections

import pytest

from quetzalswitch import changelog
from quetzalswitch import configuration as config
from quetzalswitch import exceptions

Row = collections.namedtuple("Row", "key version value")
GENE = config.PutTeam("genealogy", 2.0, 10)
DIGEST = config.digest_key("secret")


class FakeTable:
    """Rows with versions, compared and written as one transaction."""

    def __init__(self):
        self.rows = {}
        self.lost = False
        self._commits = 0

    def read_row(self, key):
        return self.rows.get(key)

    def read_rows(self, prefix, after, limit):
        keys = [k for k in sorted(self.rows) if k.startswith(prefix)]
        return [self.rows[k] for k in keys if k > after][:limit]

    def commit(self, conditions, writes):
        conflicts = {}
        for key, version in conditions.items():
            row = self.rows.get(key, Row(key, 0, None))
            if row.version != version:
                conflicts[key] = row
        if conflicts:
            raise exceptions.ConditionFailedError(conflicts)
        self._commits += 1
        for key, value in writes.items():
            self.rows[key] = Row(key, self._commits, value)
            if value is None:
                del self.rows[key]
        if self.lost:
            raise exceptions.StoreUnavailableError("no answer")


def follow(follower, table):
    head = table.read_row(changelog.HEAD_KEY)
    follower.observe_head(head.value["version"])
    reads = 0
    while (read := follower.next_read()) is not None:
        follower.offer(read, table.read_rows(*read))
        reads += 1
    return reads


def write_changes(table, current, count):
    for _ in range(count):
        change = config.PutTeam("genealogy", 1.0, current.version)
        current = changelog.propose(table, table.commit, current, change)
    return current


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (config.PutQueue("q", "nobody"), "unknown team nobody"),
        (config.PutTeam("t", 0.0, 1), "share 0.0 must be above 0"),
        (config.PutTeam("t", float("nan"), 1), "share nan"),
        (config.PutTeam("t", 1.0, -1), "max_running -1"),
        (config.PutTeam("a/b", 1.0, 1), "team name 'a/b'"),
        (config.GrantKey("k", "genealogy", "plain"), "64 lower-case hex"),
        (config.WithdrawKey("k"), "unknown key k"),
        (config.ReturnDomain("a"), "not out of service"),
        (config.ChangeSet(()), "empty"),
    ],
)
def test_change_that_does_not_fit_is_refused(change, message):
    """Guards against a bad change that every entry would apply."""
    old = config.apply(config.Configuration(), GENE)
    with pytest.raises(exceptions.ConfigurationError, match=message):
        config.apply(old, change)


def test_team_in_use_cannot_be_removed():
    """Guards against a queue or key that is left without its team."""
    change = config.ChangeSet((GENE, config.PutQueue("q", "genealogy")))
    old = config.apply(config.Configuration(), change)
    with pytest.raises(exceptions.ConfigurationError, match="still has queue"):
        config.apply(old, config.RemoveTeam("genealogy"))


@pytest.mark.parametrize(
    "plain",
    [
        {"type": "put_team", "name": "t", "share": 1, "max_running": 1, "x": 1},
        {"type": "put_team", "name": "t", "share": 1},
        {"type": "put_team", "name": "t", "share": 1, "max_running": True},
        {"type": "put_queue", "name": "q", "team": None, "kind": "cron"},
        {"type": "drop_everything"},
        [],
    ],
)
def test_unknown_or_missing_fields_are_refused(plain):
    """Guards against a misspelt field that is silently ignored."""
    with pytest.raises(exceptions.ConfigurationError, match="bad change"):
        config.decode_change(plain)


def test_changes_and_snapshots_survive_encoding():
    """Guards against a version that differs between writer and follower."""
    change = config.ChangeSet(
        (
            GENE,
            config.GrantKey("k", "genealogy", DIGEST),
            config.PutTeam(config.OPEN_TEAM, 1.0, 4),
            config.PutQueue("open", None, "latency", 5, 10, 2.5),
            config.TakeOutDomain("north-a"),
            config.TakeOutTarget("worker-1"),
        )
    )
    assert config.decode_change(config.encode_change(change)) == change
    made = config.apply(config.Configuration(), change)
    plain = config.encode_configuration(made)
    assert config.decode_configuration(plain) == made


def test_withdrawn_key_no_longer_verifies():
    """Guards against a revoked key that still admits work."""
    grant = config.GrantKey("k", "genealogy", DIGEST)
    granted = config.apply(
        config.Configuration(), config.ChangeSet((GENE, grant))
    )
    assert config.verify_key(granted, "secret").team == "genealogy"
    assert config.verify_key(granted, "other") is None
    withdrawn = config.apply(granted, config.WithdrawKey("k"))
    assert config.verify_key(withdrawn, "secret") is None


def test_loser_of_a_race_gets_the_current_version():
    """Guards against two operators' changes accepted as one version."""
    table = FakeTable()
    start = config.Configuration()
    stale_head = table.read_row(changelog.HEAD_KEY)
    write_changes(table, start, 1)
    for reader in (table.read_row, lambda key: stale_head):
        racing = collections.namedtuple("Racing", "read_row")(reader)
        with pytest.raises(exceptions.RequestError) as caught:
            changelog.propose(racing, table.commit, start, GENE)
        assert caught.value.kind == exceptions.ErrorKind.VERSION_CONFLICT
        assert "current version is 1" in caught.value.message


def test_lost_answer_is_not_reported_as_not_run():
    """Guards against "not run" for a change that took effect."""
    table = FakeTable()
    table.lost = True
    with pytest.raises(exceptions.RequestError) as caught:
        changelog.propose(table, table.commit, config.Configuration(), GENE)
    assert caught.value.run == exceptions.RunState.UNKNOWN


def test_follower_applies_in_order_and_never_goes_back():
    """Guards against skipped, repeated or reverted changes."""
    table = FakeTable()
    made = write_changes(table, config.Configuration(), 5)
    follower = changelog.Follower()
    follow(follower, table)
    assert follower.configuration == made
    follower.observe_head(2)
    stale = changelog.RowRange(changelog.CHANGE_PREFIX, "", 9)
    assert not follower.offer(stale, table.read_rows(*stale))
    assert (follower.configuration, follower.head) == (made, 5)
    behind = changelog.Follower()
    behind.observe_head(5)
    assert not behind.offer(stale, [table.rows[changelog.change_key(2)]])
    assert behind.version == 0


def test_compacted_log_is_bounded_and_followed_from_the_snapshot():
    """Guards against a log that grows for ever or can't be followed."""
    table = FakeTable()
    current = write_changes(table, config.Configuration(), 150)
    lagging = changelog.Follower()
    follow(lagging, table)
    made = write_changes(table, current, 650)
    assert len(table.rows) <= changelog.KEPT_CHANGES + 2
    cold = changelog.Follower()
    assert follow(cold, table) <= 2
    follow(lagging, table)
    assert cold.configuration == lagging.configuration == made
    gapped = changelog.Follower(config.Configuration(version=201))
    gapped.observe_head(401)
    rows = table.read_rows(changelog.CHANGE_PREFIX, "", 500)
    assert not gapped.offer(gapped.next_read(), rows)
    assert gapped.next_read().prefix == changelog.SNAPSHOT_KEY


def test_open_queue_needs_the_team_that_its_work_is_charged_to():
    """Guards against work without a key that no upper limit bounds."""
    queue = config.PutQueue("public", None, "latency")
    with pytest.raises(exceptions.ConfigurationError, match="open"):
        config.apply(config.Configuration(), queue)
