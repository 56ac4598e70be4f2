package org.fallturn.node.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Timeline of one request from the structured logs of gateways: the lines about the request in time
 * order, with the state that each process involved had at the time. State lines tell of changes of
 * routes, engines, dependencies and the process itself. The timeline has the last one about each
 * subject before the request, unless it had lapsed by then, and all until the request's last line.
 * Where the request's content is suspected of crashes, the timeline includes the lines about the
 * content under any request id; likewise for the parts of its prompt that some node suspected. A
 * line's process is the last word before its JSON object, or else the name of the file.
 */
public final class RequestTimeline {

  private static final Set<String> STATE_EVENTS =
      Set.of(
          LogEvent.ROUTING_CHANGED.name(),
          LogEvent.ENGINES_CHANGED.name(),
          LogEvent.ENGINE_LEAVES.name(),
          LogEvent.ENGINE_RESTS.name(),
          LogEvent.ENGINE_LIMITED.name(),
          LogEvent.ENGINE_LIMIT_ENDED.name(),
          LogEvent.ENGINE_PACE.name(),
          LogEvent.DEPENDENCY_LOST.name(),
          LogEvent.DEPENDENCY_REGAINED.name(),
          LogEvent.STOPPING.name(),
          LogEvent.STARTED.name());

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String EVENT = "event";
  private static final String REQUEST = "request";
  private static final String ENGINE = "engine";
  private static final String REST_MILLIS = "restMs";
  private static final String CONTENT = "content";
  private static final String PARTS = "parts";
  private static final long NANOS_PER_MILLI = 1_000_000;

  private RequestTimeline() {}

  /**
   * One line of a log.
   *
   * @param process name of the process that wrote it
   * @param timeNanos Unix time in ns
   * @param fields its fields by name
   */
  private record Line(String process, long timeNanos, Map<String, String> fields) {

    String event() {
      return fields.getOrDefault(EVENT, "");
    }

    /** Returns the fingerprints of the parts of the prompt; most lines name none. */
    Stream<String> parts() {
      return Arrays.stream(fields.getOrDefault(PARTS, "").split(" "))
          .map(part -> part.substring(part.indexOf('=') + 1))
          .filter(part -> !part.isEmpty());
    }

    /** Returns the fingerprints of the content and of the parts of the prompt. */
    Stream<String> traits() {
      return Stream.concat(Stream.ofNullable(fields.get(CONTENT)), parts());
    }

    /** Returns what the line is about; a later line about the same subject replaces it. */
    String subject() {
      return process + event() + fields.getOrDefault(ENGINE, "");
    }

    /** Returns whether the state still holds at a time; only an engine's rest ends by itself. */
    boolean holdsAt(long nanos) {
      String rest = fields.get(REST_MILLIS);
      return rest == null || nanos - timeNanos < Long.parseLong(rest) * NANOS_PER_MILLI;
    }

    String text(long beginNanos) {
      String details =
          fields.entrySet().stream()
              .filter(field -> !field.getKey().equals(EVENT) && !field.getKey().equals(REQUEST))
              .map(field -> field.getKey() + "=" + field.getValue())
              .collect(Collectors.joining(" "));
      double millis = (double) (timeNanos - beginNanos) / NANOS_PER_MILLI;
      return String.format("%+10.1f ms  %s  %-16s %s", millis, process, event(), details);
    }
  }

  /**
   * Builds the timeline of a request.
   *
   * @param files logs, each of one process or of several
   * @param request id of the request
   * @return the lines of the timeline; empty when no line names the request
   */
  public static List<String> of(List<Path> files, String request) throws IOException {
    List<Line> lines = new ArrayList<>();
    for (Path file : files) {
      read(file, lines);
    }
    lines.sort(Comparator.comparingLong(Line::timeNanos));
    List<Line> own =
        lines.stream().filter(line -> request.equals(line.fields().get(REQUEST))).toList();
    if (own.isEmpty()) {
      return List.of();
    }
    long begin = own.get(0).timeNanos();
    long end = own.get(own.size() - 1).timeNanos();
    Set<String> processes = own.stream().map(Line::process).collect(Collectors.toSet());
    List<Line> timeline = new ArrayList<>(own);
    timeline.addAll(ofSameContent(lines, own));
    timeline.addAll(stateLines(lines, processes, begin, end));
    timeline.sort(Comparator.comparingLong(Line::timeNanos));
    return timeline.stream().map(line -> line.text(begin)).toList();
  }

  private static List<Line> ofSameContent(List<Line> lines, List<Line> own) {
    Set<String> wanted =
        own.stream()
            .map(line -> line.fields().get(CONTENT))
            .filter(Objects::nonNull)
            .collect(Collectors.toSet());
    Set<String> ownParts = own.stream().flatMap(Line::parts).collect(Collectors.toSet());
    lines.stream()
        .filter(line -> line.event().equals(LogEvent.STANDING_CHANGED.name()))
        .map(line -> line.fields().get(CONTENT))
        .filter(ownParts::contains)
        .forEach(wanted::add);
    return lines.stream()
        .filter(line -> line.traits().anyMatch(wanted::contains) && !own.contains(line))
        .toList();
  }

  /**
   * Returns the state lines of these processes: the last line about each subject before the
   * request, and all while it was served.
   */
  private static List<Line> stateLines(
      List<Line> lines, Set<String> processes, long begin, long end) {
    List<Line> kept = new ArrayList<>();
    Set<String> seenBefore = new HashSet<>();
    for (int index = lines.size() - 1; index >= 0; index--) {
      Line line = lines.get(index);
      boolean isState = STATE_EVENTS.contains(line.event()) && processes.contains(line.process());
      if (!isState || line.timeNanos() > end) {
        continue;
      }
      if (line.timeNanos() >= begin || line.holdsAt(begin) && seenBefore.add(line.subject())) {
        kept.add(line);
      }
    }
    return kept;
  }

  private static void read(Path file, List<Line> lines) throws IOException {
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      String text = reader.readLine();
      while (text != null) {
        int object = text.indexOf('{');
        if (object >= 0) {
          parse(text.substring(0, object), text.substring(object), file, lines);
        }
        text = reader.readLine();
      }
    }
  }

  /** Skips lines that are no JSON object or have no fields, since other programs wrote them. */
  private static void parse(String before, String object, Path file, List<Line> lines) {
    JsonNode node;
    try {
      node = JSON.readTree(object);
    } catch (IOException e) {
      return;
    }
    JsonNode pairs = node.path("kvpList");
    if (!pairs.isArray() || pairs.isEmpty()) {
      return;
    }
    Map<String, String> fields = new TreeMap<>();
    pairs.forEach(
        pair -> pair.properties().forEach(f -> fields.put(f.getKey(), f.getValue().asText())));
    String[] wordsBefore = before.strip().split("\\s+");
    String lastWord = wordsBefore[wordsBefore.length - 1];
    String process = lastWord.isEmpty() ? file.getFileName().toString() : lastWord;
    long nanos = node.path("timestamp").asLong() * NANOS_PER_MILLI;
    nanos += node.path("nanoseconds").asLong() % NANOS_PER_MILLI;
    lines.add(new Line(process, nanos, fields));
  }
}
