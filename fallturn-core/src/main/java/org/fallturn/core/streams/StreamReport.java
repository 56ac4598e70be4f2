package org.fallturn.core.streams;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a node reports to another about the versions that began streams. Immutable.
 *
 * @param versions by service and software version, how many ms ago the sender's own directory last
 *     listed an engine of it or the sender heard of a stream that began at it; without a service
 *     whose versions the sender has not watched for long enough
 * @param origins where streams began, those of the sender and those that it passes on
 */
public record StreamReport(Map<String, Map<String, Integer>> versions, List<StreamOrigin> origins) {

  /** A report without content. */
  public static final StreamReport NONE = new StreamReport(Map.of(), List.of());

  /** Copies the collections. */
  public StreamReport {
    versions =
        versions.entrySet().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    Map.Entry::getKey, service -> Map.copyOf(service.getValue())));
    origins = List.copyOf(origins);
  }
}
