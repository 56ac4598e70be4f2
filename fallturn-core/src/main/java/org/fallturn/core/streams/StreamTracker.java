package org.fallturn.core.streams;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.WeightedService;

/**
 * Finds the software version that began a stream which a caller continues, possibly at another
 * node. While all streams of a service began at one version, that version is the answer and nodes
 * report no streams to each other. Otherwise, each node reports at which version its streams begin,
 * as soon as they do; a report about a stream never changes.
 *
 * <p>Invariant: {@link #find} never guesses. It is empty when the streams of a service can have
 * begun at several versions, or when this node cannot know that, and no node reported this one. A
 * node cannot know it from what it read before the request came: while it was suspended or cut off,
 * others may have begun streams at a version that it has not seen. Confined to the dispatch thread.
 */
public final class StreamTracker {

  /**
   * How long a stream may be continued after its beginning, at least; longer if a route allows its
   * requests more time. Well above the usual time-outs, since it costs only memory.
   */
  private static final Duration MIN_LIFETIME = Duration.ofSeconds(10);

  /** Bounds the memory for streams, at some 100 bytes each. */
  private static final int MAX_STREAMS = 50_000;

  /** Bounds what is sent when a service gets a second version: the latest streams of this node. */
  private static final int MAX_UNREPORTED_PER_SERVICE = 2_000;

  private final SoftwareVersions versions = new SoftwareVersions(MIN_LIFETIME.toNanos());
  private final Map<Long, Known> streams = new LinkedHashMap<>();
  private final Map<String, Deque<Known>> unreported = new HashMap<>();
  private final Set<String> services = new HashSet<>();
  private long lifetimeNanos = MIN_LIFETIME.toNanos();
  private DirectoryContact contact = DirectoryContact.UNBROKEN;
  private OptionalLong lastContactNanos = OptionalLong.empty();
  private OptionalLong confirmationNanos = OptionalLong.empty();

  /** A stream, and when it began at this node or was reported to it. */
  private record Known(StreamOrigin origin, long atNanos) {}

  /** Applies a newer set of routes. */
  public void setRouting(RoutingImage image) {
    services.clear();
    for (Route route : image.routes()) {
      if (route.streaming() && route.repeatable()) {
        route.services().stream().map(WeightedService::service).forEach(services::add);
        lifetimeNanos = Math.max(lifetimeNanos, route.timeout().toNanos());
      }
    }
    versions.setLifetime(lifetimeNanos);
  }

  /** Takes the engines as their directory entries describe them. */
  public void onDirectory(EngineDirectory listed, long nowNanos) {
    versions.onDirectory(listed, nowNanos);
  }

  /** An entry of an engine came and went, whose version this node does not know. */
  public void onMissedEntries(long nowNanos) {
    versions.restartWatch(nowNanos);
  }

  /**
   * The store confirmed that the directory, as given last, lists all engines.
   *
   * @param begunNanos when the reading of the store began
   */
  public void onDirectoryConfirmed(long begunNanos) {
    confirmationNanos = OptionalLong.of(begunNanos);
  }

  /**
   * Sets how to find out when the directory was last confirmed as the newest. It is asked at each
   * use: a process that was suspended gets requests before any periodic check has run.
   */
  public void setContact(DirectoryContact newContact) {
    contact = newContact;
  }

  /** Notices gaps in the contact with the store; called several times a second. */
  public void onTick(long nowNanos) {
    inContact(nowNanos);
  }

  /** A gap counts also if it is over by now: versions may have come and gone meanwhile. */
  private boolean inContact(long nowNanos) {
    long ageNanos = contact.ageNanos(nowNanos);
    long contactNanos = nowNanos - ageNanos;
    long gapNanos = contactNanos - lastContactNanos.orElse(contactNanos);
    if (gapNanos > contact.maxGapNanos()) {
      versions.restartWatch(nowNanos);
    }
    if (gapNanos >= 0) {
      lastContactNanos = OptionalLong.of(contactNanos);
    }
    return ageNanos < contact.maxGapNanos();
  }

  /**
   * Returns where a stream began; empty when that is not certain.
   *
   * @param key key of the request that brought its first event; empty when the caller does not name
   *     it
   * @param candidates services of the route; the first is taken where no node reported the stream
   * @param arrivedNanos when the request came that continues the stream
   */
  public Optional<KnownOrigin> find(
      Optional<Long> key, List<String> candidates, long arrivedNanos, long nowNanos) {
    return reported(key, candidates, nowNanos)
        .or(() -> soleOrigin(key, candidates.get(0), arrivedNanos, nowNanos));
  }

  private Optional<KnownOrigin> reported(
      Optional<Long> key, List<String> candidates, long nowNanos) {
    return key.map(streams::get)
        .filter(known -> nowNanos - known.atNanos <= lifetimeNanos)
        .filter(known -> candidates.contains(known.origin.service()))
        .map(
            known ->
                new KnownOrigin(
                    known.origin, KnownOrigin.Evidence.REPORTED, nowNanos - known.atNanos));
  }

  private Optional<KnownOrigin> soleOrigin(
      Optional<Long> key, String service, long arrivedNanos, long nowNanos) {
    if (!isConfirmedSince(arrivedNanos)) {
      return Optional.empty();
    }
    long ageNanos = nowNanos - confirmationNanos.getAsLong();
    return soleVersion(service, nowNanos)
        .map(version -> new StreamOrigin(key.orElse(0L), service, version))
        .map(origin -> new KnownOrigin(origin, KnownOrigin.Evidence.SOLE_VERSION, ageNanos));
  }

  /**
   * Whether a stream would be found if the store confirmed the directory by a reading that begins
   * now.
   *
   * @param key as in {@link #find}, as are the others
   */
  public boolean lacksConfirmation(
      Optional<Long> key, List<String> candidates, long arrivedNanos, long nowNanos) {
    return !isConfirmedSince(arrivedNanos)
        && reported(key, candidates, nowNanos).isEmpty()
        && soleVersion(candidates.get(0), nowNanos).isPresent();
  }

  private boolean isConfirmedSince(long nanos) {
    return confirmationNanos.isPresent() && confirmationNanos.getAsLong() - nanos >= 0;
  }

  private Optional<String> soleVersion(String service, long nowNanos) {
    return inContact(nowNanos) ? versions.sole(service, nowNanos) : Optional.empty();
  }

  /** Records that the first event of a stream, or its continuation, came to this node. */
  public void onBegan(StreamOrigin origin, long nowNanos) {
    Known begun = new Known(origin, nowNanos);
    remember(begun);
    Deque<Known> waiting = unreported.computeIfAbsent(origin.service(), name -> new ArrayDeque<>());
    waiting.addLast(begun);
    if (waiting.size() > MAX_UNREPORTED_PER_SERVICE) {
      waiting.removeFirst();
    }
  }

  /** Takes what another node reports. */
  public void onPeerReport(StreamReport report, long nowNanos) {
    versions.onPeerReport(report.versions(), nowNanos);
    report.origins().forEach(origin -> remember(new Known(origin, nowNanos)));
  }

  private void remember(Known stream) {
    versions.onBegun(stream.origin(), stream.atNanos());
    streams.remove(stream.origin().key());
    streams.put(stream.origin().key(), stream);
    Iterator<Known> oldest = streams.values().iterator();
    while (oldest.hasNext()) {
      boolean expired = stream.atNanos() - oldest.next().atNanos() > lifetimeNanos;
      if (!expired && streams.size() <= MAX_STREAMS) {
        return;
      }
      oldest.remove();
    }
  }

  /** Whether streams that began at this node are to be reported to the other nodes. */
  public boolean hasUnreported(long nowNanos) {
    return unreported.entrySet().stream()
        .anyMatch(
            waiting ->
                !waiting.getValue().isEmpty() && soleVersion(waiting.getKey(), nowNanos).isEmpty());
  }

  /** Removes and returns the streams to report to the other nodes. */
  public List<StreamOrigin> takeUnreported(long nowNanos) {
    List<StreamOrigin> taken = new ArrayList<>();
    for (Map.Entry<String, Deque<Known>> waiting : unreported.entrySet()) {
      if (soleVersion(waiting.getKey(), nowNanos).isEmpty()) {
        waiting.getValue().stream()
            .filter(known -> nowNanos - known.atNanos() <= lifetimeNanos)
            .forEach(known -> taken.add(known.origin()));
        waiting.getValue().clear();
      }
    }
    return taken;
  }

  /** The versions that this node reports to the others; see {@link StreamReport}. */
  public Map<String, Map<String, Integer>> reportedVersions(long nowNanos) {
    return inContact(nowNanos) ? versions.report(services, nowNanos) : Map.of();
  }
}
