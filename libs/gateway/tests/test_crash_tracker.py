"""Guards against requests that crash one upstream after the other."""

from peer_network import Network

from waxwingbarrow.core import Incarnation, Instant, UpstreamId
from waxwingbarrow.gateway.upstreams._crash_tracker import (
    MAX_SHARED_PARTS,
    MIN_PART_CRASHES,
    PART_RETENTION_MS,
    SHARING_MS,
    SURVIVAL_MS,
    CrashTracker,
    Fingerprints,
)

SHARED, BAD, SOUND = "pool/1", "pool/bad", "pool/2"
PLAIN = Fingerprints("f")


def at(ms):
    return Instant(0, ms)


def lose(tracker, name, ms, *lost, first_event_ms=None):
    """Lose requests at an upstream that refuses connections soon after."""
    upstream, incarnation = UpstreamId(name), Incarnation(1, 0)
    for fingerprints in lost:
        tracker.note_loss(fingerprints, upstream, incarnation, first_event_ms, at(ms))
    tracker.note_crash(upstream, incarnation, at(ms + 30))


def complete(tracker, fingerprints, ms, succeeded=True):
    tracker.note_completion(fingerprints, succeeded, at(ms))


def bad_request(number):
    return Fingerprints(f"bad{number}", (SHARED, BAD))


def sound_request(number):
    return Fingerprints(f"sound{number}", (SHARED, SOUND))


def refuses(tracker, *parts):
    return tracker.find_refusal(Fingerprints("new", parts), at(10_000)) is not None


class TestRequests:
    def test_a_request_that_crashed_two_upstreams_is_refused(self):
        tracker = CrashTracker()
        lose(tracker, "u1", 0, PLAIN)
        assert tracker.find_refusal(PLAIN, at(500)) is None
        lose(tracker, "u2", 600, PLAIN)
        assert tracker.find_refusal(PLAIN, at(1_000)) is not None

    def test_a_broken_connection_alone_does_not_make_a_request_suspect(self):
        tracker = CrashTracker()
        for name in ("u1", "u2", "u3"):
            tracker.note_loss(PLAIN, UpstreamId(name), Incarnation(1, 0), None, at(0))
        tracker.note_crash(UpstreamId("u1"), Incarnation(1, 0), at(9_000))
        assert tracker.find_refusal(PLAIN, at(9_100)) is None

    def test_a_request_that_completes_elsewhere_is_cleared(self):
        tracker = CrashTracker()
        lose(tracker, "u1", 0, PLAIN)
        lose(tracker, "u2", 600, PLAIN)
        complete(tracker, PLAIN, 1_000)
        assert tracker.find_refusal(PLAIN, at(1_100)) is None

    # Guards against BUDGET: a request that also got failures from other upstreams was
    # taken for sound, and was sent on.
    def test_a_failure_elsewhere_does_not_clear_a_request(self):
        tracker = CrashTracker()
        lose(tracker, "u1", 0, PLAIN)
        complete(tracker, PLAIN, 300, succeeded=False)
        lose(tracker, "u2", 600, PLAIN)
        complete(tracker, PLAIN, 900, succeeded=False)
        assert tracker.find_refusal(PLAIN, at(1_000)) is not None

    def test_crashes_counted_by_several_hosts_add_up(self):
        first, second = CrashTracker(), CrashTracker()
        lose(first, "u1", 0, PLAIN)
        lose(second, "u2", 0, PLAIN)
        second.update_from_peer(first.list_shared(at(500)), [], at(500))
        assert second.find_refusal(PLAIN, at(600)) is not None


class TestParts:
    def test_different_requests_with_one_part_are_refused_after_three_crashes(self):
        # Guards against BUDGET of second1: requests that share only a part had
        # different fingerprints, so each of them crashed an upstream.
        tracker = CrashTracker()
        for number in range(MIN_PART_CRASHES):
            assert not refuses(tracker, SHARED, BAD)
            complete(tracker, sound_request(number), 1_000 * number)
            lose(tracker, f"u{number}", 1_000 * number + 500, bad_request(number))
        assert refuses(tracker, SHARED, BAD)
        assert refuses(tracker, BAD)

    def test_requests_that_share_the_other_parts_are_served(self):
        # Guards against LOST beside such requests: what is lost with them at an
        # upstream, and what they share with sound requests, is not at fault.
        tracker = CrashTracker()
        for number in range(5):
            ms = 1_000 * number
            lose(tracker, f"u{number}", ms, bad_request(number), sound_request(number))
            complete(tracker, sound_request(number), ms + 500)
        assert refuses(tracker, BAD)
        assert not refuses(tracker, SHARED)
        assert not refuses(tracker, SHARED, SOUND)

    def test_a_part_that_is_lost_beside_the_one_at_fault_is_not_blamed_too(self):
        # The rare part has no completed request, but every one of its losses is
        # explained by the part that was lost more often.
        tracker = CrashTracker()
        rare = Fingerprints("rare", ("pool/rare",))
        for number in range(4):
            lost = [bad_request(number), rare] if number < 3 else [bad_request(number)]
            lose(tracker, f"u{number}", 1_000 * number, *lost)
            complete(tracker, sound_request(number), 1_000 * number + 100)
        assert refuses(tracker, BAD)
        assert not refuses(tracker, "pool/rare")

    def test_a_stream_that_had_gone_on_shows_that_its_parts_are_sound(self):
        tracker = CrashTracker()
        for number in range(5):
            ms = 10_000 + 1_000 * number
            lose(
                tracker,
                f"u{number}",
                ms,
                sound_request(number),
                first_event_ms=ms - SURVIVAL_MS,
            )
        assert not refuses(tracker, SHARED)
        assert not refuses(tracker, SOUND)

    def test_among_parts_with_the_same_losses_the_deepest_one_is_blocked(self):
        # Guards against a block of all requests of a route before any was completed.
        tracker = CrashTracker()
        for number in range(3):
            lose(tracker, f"u{number}", 0, bad_request(number))
        assert refuses(tracker, BAD)
        assert not refuses(tracker, SHARED)

    def test_a_rejected_request_does_not_clear_its_parts(self):
        tracker = CrashTracker()
        for number in range(4):
            lose(tracker, f"u{number}", 1_000 * number, bad_request(number))
            complete(tracker, bad_request(9), 1_000 * number + 500, succeeded=False)
        assert refuses(tracker, BAD)

    def test_a_blocked_part_is_served_again_when_a_request_with_it_completes(self):
        tracker = CrashTracker()
        for number in range(3):
            lose(tracker, f"u{number}", 1_000 * number, bad_request(number))
        complete(tracker, bad_request(3), 4_000)
        assert not refuses(tracker, SHARED, BAD)

    def test_broken_connections_alone_do_not_block_a_part(self):
        tracker = CrashTracker()
        for number in range(5):
            upstream = UpstreamId(f"u{number}")
            lost = bad_request(number)
            tracker.note_loss(lost, upstream, Incarnation(1, 0), None, at(number))
        assert not refuses(tracker, SHARED, BAD)

    def test_a_block_ends_some_time_after_the_last_crash(self):
        # Guards against a part that is blocked for ever, as none of its requests is
        # sent that could complete.
        tracker = CrashTracker()
        for number in range(3):
            lose(tracker, f"u{number}", 0, bad_request(number))
        before, after = at(PART_RETENTION_MS - 1_000), at(PART_RETENTION_MS + 1_000)
        assert tracker.find_refusal(bad_request(9), before) is not None
        assert tracker.find_refusal(bad_request(9), after) is None

    def test_a_part_of_many_requests_is_not_blocked_when_upstreams_crash_together(self):
        # Guards against a block of a whole route while a rack of upstreams is lost:
        # its requests were in flight on all of them, and some had just completed.
        tracker = CrashTracker()
        complete(tracker, sound_request(0), 900)
        for number in range(4):
            lose(tracker, f"u{number}", 1_000, sound_request(1 + number))
        assert not refuses(tracker, SHARED)
        assert not refuses(tracker, SOUND)


class TestExchange:
    def test_crashes_under_a_part_that_several_hosts_saw_add_up(self):
        # Guards against a limit that is counted by each host for itself.
        trackers = [CrashTracker() for _ in range(4)]
        for number, tracker in enumerate(trackers[:3]):
            lose(tracker, f"u{number}", 0, bad_request(number))
        exchange(trackers, 100)
        assert all(refuses(tracker, BAD) for tracker in trackers)

    def test_hosts_tell_each_other_of_parts_that_are_sound(self):
        # Guards against a part that is blocked on hosts without requests for it.
        trackers = [CrashTracker() for _ in range(3)]
        for number in range(3):
            lose(trackers[0], f"u{number}", 0, bad_request(number))
        exchange(trackers, 100)
        complete(trackers[1], sound_request(1), 200)
        exchange(trackers, 300)
        for tracker in trackers:
            assert refuses(tracker, BAD)
            assert not refuses(tracker, SHARED)

    def test_a_host_that_starts_later_learns_of_blocked_parts_from_any_host(self):
        first, second, late = CrashTracker(), CrashTracker(), CrashTracker()
        for number in range(3):
            lose(first, f"u{number}", 0, bad_request(number))
        exchange([first, second], 100)
        ms = 100 + 2 * SHARING_MS
        late.update_from_peer([], second.list_shared_parts(at(ms)), at(ms))
        assert refuses(late, SHARED, BAD)

    def test_hosts_do_not_keep_a_block_alive_among_themselves(self):
        # Guards against losses that each host learns anew as its own copy expires.
        trackers = [CrashTracker() for _ in range(3)]
        for number in range(3):
            lose(trackers[0], f"u{number}", 0, bad_request(number))
        for ms in range(100, PART_RETENTION_MS + 120_000, 5_000):
            exchange(trackers, ms)
        late = at(PART_RETENTION_MS + 120_000)
        for tracker in trackers:
            assert tracker.find_refusal(bad_request(9), late) is None

    def test_a_report_is_bounded_when_many_upstreams_crash_at_once(self):
        # Guards against heartbeats that grow with all requests of lost upstreams.
        tracker = CrashTracker()
        for number in range(20):
            lost = [
                Fingerprints(f"{number}-{n}", (f"p/{number}-{n}",)) for n in range(20)
            ]
            lose(tracker, f"u{number}", 0, *lost)
        assert len(tracker.list_shared_parts(at(100))) == MAX_SHARED_PARTS
        assert not tracker.list_shared_parts(at(100 + SHARING_MS))

    def test_relays_pass_on_blocked_parts_to_all_hosts(self):
        # Guards against hosts of large deployments that never hear of a part.
        network = Network(3, 8)
        network.run(8)
        hosts = list(network.hosts.values())
        for number, host in enumerate(hosts[5:8]):
            now = network.clock.now()
            lose(host.crash_tracker, f"u{number}", now.mono_ms, bad_request(number))
        network.run(6)
        assert all(refuses(host.crash_tracker, SHARED, BAD) for host in hosts)


def exchange(trackers, ms):
    """Let every host hear every other one once."""
    reports = [tracker.list_shared_parts(at(ms)) for tracker in trackers]
    for tracker in trackers:
        for report in reports:
            tracker.update_from_peer([], report, at(ms))
