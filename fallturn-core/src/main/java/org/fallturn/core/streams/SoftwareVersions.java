package org.fallturn.core.streams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServingEngine;

/**
 * The software versions at which streams that callers may still continue can have begun, by
 * service.
 *
 * <p>Invariant: {@link #sole} names a version only if no stream of the service can have begun at
 * another one within its lifetime, as far as a directory tells that has been followed for that long
 * by this node or by one that reported to it, and the streams tell that began here or were reported
 * one by one. Engines serve on without an entry, so the directory alone does not tell. Reports
 * contain both, but nothing from reports of versions: a version that nodes repeat to each other
 * would never expire. Not thread-safe.
 */
final class SoftwareVersions {

  private final Map<String, Map<String, Long>> listedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> begunAt = new HashMap<>();
  private final Map<String, Map<String, Long>> reportedAt = new HashMap<>();
  private Map<String, Set<String>> listed = Map.of();
  private final Set<String> reportedServices = new HashSet<>();
  private OptionalLong watchedSinceNanos = OptionalLong.empty();
  private long lifetimeNanos;

  /**
   * Creates versions that were never watched.
   *
   * @param lifetimeNanos how long after its beginning a stream may be continued
   */
  SoftwareVersions(long lifetimeNanos) {
    this.lifetimeNanos = lifetimeNanos;
  }

  void setLifetime(long nanos) {
    lifetimeNanos = nanos;
  }

  /** The directory may have missed versions that came and went until now. */
  void restartWatch(long nowNanos) {
    watchedSinceNanos = OptionalLong.of(nowNanos);
    reportedServices.clear();
  }

  void onDirectory(EngineDirectory directory, long nowNanos) {
    if (watchedSinceNanos.isEmpty()) {
      restartWatch(nowNanos);
    }
    noteListed(nowNanos);
    listed =
        directory.all().stream()
            .collect(
                Collectors.groupingBy(
                    ServingEngine::service,
                    Collectors.mapping(ServingEngine::softwareVersion, Collectors.toSet())));
    noteListed(nowNanos);
    listedAt.values().forEach(versions -> forgetOld(versions, nowNanos));
    begunAt.values().forEach(versions -> forgetOld(versions, nowNanos));
    reportedAt.values().forEach(versions -> forgetOld(versions, nowNanos));
  }

  private void noteListed(long nowNanos) {
    listed.forEach(
        (service, versions) ->
            versions.forEach(version -> note(listedAt, service, version, nowNanos)));
  }

  /** Records that a stream begins at a version, whatever the directory lists. */
  void onBegun(StreamOrigin origin, long nowNanos) {
    note(begunAt, origin.service(), origin.softwareVersion(), nowNanos);
  }

  void onPeerReport(Map<String, Map<String, Integer>> reported, long nowNanos) {
    reportedServices.addAll(reported.keySet());
    reported.forEach(
        (service, versions) ->
            versions.forEach(
                (version, ageMillis) ->
                    note(
                        reportedAt,
                        service,
                        version,
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis))));
  }

  private static void note(
      Map<String, Map<String, Long>> times, String service, String version, long nanos) {
    times.computeIfAbsent(service, name -> new HashMap<>()).merge(version, nanos, Math::max);
  }

  private void forgetOld(Map<String, Long> versions, long nowNanos) {
    versions.values().removeIf(nanos -> nowNanos - nanos > lifetimeNanos);
  }

  /** The version at which every stream of a service began that may still be continued. */
  Optional<String> sole(String service, long nowNanos) {
    if (!watchedForLifetime(nowNanos) && !reportedServices.contains(service)) {
      return Optional.empty();
    }
    Set<String> versions = new HashSet<>(listed.getOrDefault(service, Set.of()));
    addRecent(versions, listedAt.get(service), nowNanos);
    addRecent(versions, begunAt.get(service), nowNanos);
    addRecent(versions, reportedAt.get(service), nowNanos);
    return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
  }

  private void addRecent(Set<String> versions, Map<String, Long> times, long nowNanos) {
    if (times != null) {
      times.forEach(
          (version, nanos) -> {
            if (nowNanos - nanos <= lifetimeNanos) {
              versions.add(version);
            }
          });
    }
  }

  private boolean watchedForLifetime(long nowNanos) {
    return watchedSinceNanos.isPresent()
        && nowNanos - watchedSinceNanos.getAsLong() >= lifetimeNanos;
  }

  /** What this node reports of some services; nothing until it has watched them long enough. */
  Map<String, Map<String, Integer>> report(Set<String> services, long nowNanos) {
    if (!watchedForLifetime(nowNanos)) {
      return Map.of();
    }
    Map<String, Map<String, Integer>> report = new HashMap<>();
    for (String service : services) {
      Map<String, Integer> ages = new HashMap<>();
      addAges(ages, listedAt.get(service), nowNanos);
      addAges(ages, begunAt.get(service), nowNanos);
      listed.getOrDefault(service, Set.of()).forEach(version -> ages.put(version, 0));
      if (!ages.isEmpty()) {
        report.put(service, ages);
      }
    }
    return report;
  }

  private void addAges(Map<String, Integer> ages, Map<String, Long> times, long nowNanos) {
    if (times != null) {
      times.forEach(
          (version, nanos) -> {
            if (nowNanos - nanos <= lifetimeNanos) {
              int millis = (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
              ages.merge(version, millis, Math::min);
            }
          });
    }
  }
}
