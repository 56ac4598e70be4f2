package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the timeline of a request against lines that it leaves out or adds. It must have the
 * request's own lines from all processes in time order, the state that these processes had then,
 * and the lines about the same content under other ids. It must not have the lines of other
 * requests, nor state that was replaced, had lapsed, or came later.
 */
class RequestTimelineTest {

  @TempDir private Path folder;

  private static String line(long millis, String... fields) {
    StringBuilder text = new StringBuilder("{\"timestamp\":" + millis + ",\"nanoseconds\":0,");
    text.append("\"kvpList\":[");
    for (int index = 0; index < fields.length; index += 2) {
      text.append(index == 0 ? "" : ",");
      text.append("{\"" + fields[index] + "\":\"" + fields[index + 1] + "\"}");
    }
    return text + "]}";
  }

  private Path log(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), List.of(lines));
  }

  @Test
  void listsARequestAcrossProcessesWithTheirState() throws Exception {
    Path one =
        log(
            "one.log",
            "not an object",
            line(10, "event", "ROUTING_CHANGED", "version", "3"),
            line(20, "event", "ROUTING_CHANGED", "version", "5"),
            line(30, "event", "PLACED", "request", "r", "engine", "e-1"),
            line(31, "event", "PLACED", "request", "other", "engine", "e-2"),
            line(60, "event", "ATTEMPT_FAILED", "request", "r", "outcome", "LOST"),
            line(90, "event", "ENGINES_CHANGED", "engines", "7"));
    Path two =
        log(
            "two.log",
            line(5, "event", "ENGINES_CHANGED", "engines", "8"),
            line(70, "event", "REFUSED_AT_DOOR", "request", "r", "kind", "STOPPING"));
    List<String> timeline = RequestTimeline.of(List.of(one, two), "r");
    assertThat(timeline).hasSize(5);
    assertThat(timeline.get(0)).contains("two.log", "ENGINES_CHANGED", "engines=8");
    assertThat(timeline.get(1)).contains("one.log", "ROUTING_CHANGED", "version=5");
    assertThat(timeline.get(2)).contains("+0.0 ms", "PLACED", "engine=e-1");
    assertThat(timeline.get(3)).contains("+30.0 ms", "outcome=LOST");
    assertThat(timeline.get(4)).contains("+40.0 ms", "two.log", "kind=STOPPING");
  }

  @Test
  void listsEnginesThatTheSameContentCrashedUnderOtherIds() throws Exception {
    Path one =
        log(
            "one.log",
            line(10, "event", "ATTEMPT_FAILED", "request", "a", "content", "c1", "engine", "e-1"),
            line(20, "event", "ATTEMPT_FAILED", "request", "b", "content", "c2", "engine", "e-2"),
            line(30, "event", "STANDING_CHANGED", "content", "c1", "standing", "QUARANTINED"));
    Path two =
        log(
            "two.log",
            line(90, "event", "REFUSED", "request", "r", "content", "c1", "kind", "QUARANTINED"));
    List<String> timeline = RequestTimeline.of(List.of(one, two), "r");
    assertThat(timeline).hasSize(3);
    assertThat(timeline.get(0)).contains("-80.0 ms", "one.log", "engine=e-1");
    assertThat(timeline.get(1)).contains("standing=QUARANTINED");
    assertThat(timeline.get(2)).contains("two.log", "kind=QUARANTINED");
  }

  @Test
  void listsEnginesThatCrashedUnderASuspectedPartOfThePrompt() throws Exception {
    String first = "f1=part-01";
    String poison = "b1=part-02";
    Path one =
        log(
            "one.log",
            line(10, "event", "ATTEMPT_FAILED", "request", "a", "parts", first, "engine", "e-1"),
            line(20, "event", "ATTEMPT_FAILED", "request", "b", "parts", poison, "engine", "e-2"),
            line(30, "event", "STANDING_CHANGED", "content", "part-02", "standing", "SUSPECTED"),
            line(90, "event", "REFUSED", "request", "r", "parts", first + " " + poison));
    List<String> timeline = RequestTimeline.of(List.of(one), "r");
    assertThat(timeline).hasSize(3);
    assertThat(timeline.get(0)).contains("engine=e-2");
    assertThat(timeline.get(1)).contains("standing=SUSPECTED");
  }

  @Test
  void listsWhichEnginesWereExcludedAndWhy() throws Exception {
    Path one =
        log(
            "one.log",
            line(10, "event", "ENGINE_LEAVES", "engine", "e-1", "source", "ANSWER"),
            line(20, "event", "ENGINE_RESTS", "engine", "e-2", "restMs", "3000"),
            line(30, "event", "ENGINE_RESTS", "engine", "e-3", "restMs", "50"),
            line(40, "event", "ENGINE_LEAVES", "engine", "e-4", "source", "LIST"),
            line(100, "event", "REFUSED", "request", "r", "kind", "NO_CAPACITY"));
    List<String> timeline = RequestTimeline.of(List.of(one), "r");
    assertThat(timeline).hasSize(4);
    assertThat(timeline.get(0)).contains("ENGINE_LEAVES", "engine=e-1", "source=ANSWER");
    assertThat(timeline.get(1)).contains("ENGINE_RESTS", "engine=e-2", "restMs=3000");
    assertThat(timeline.get(2)).contains("ENGINE_LEAVES", "engine=e-4");
    assertThat(timeline.get(3)).contains("REFUSED");
  }

  @Test
  void readsTheProcessFromTheTextBeforeTheObject() throws Exception {
    Path all = log("all", "  1.5 node-7 " + line(1, "event", "PLACED", "request", "r"));
    assertThat(RequestTimeline.of(List.of(all), "r").get(0)).contains("node-7");
  }

  @Test
  void unknownRequestHasNoTimeline() throws Exception {
    assertThat(RequestTimeline.of(List.of(log("empty")), "r")).isEmpty();
  }
}
