package org.fallturn.rehearsal.signals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.emulator.EngineProcessMain;

/** The runs that engines printed, and those that break a promise. Times are nanoTime. */
final class EngineRuns {

  /** How long an engine may still work on a request that goes on at another engine. */
  static final long OVERLAP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final Map<String, List<Run>> byRequest = new HashMap<>();
  private int count;

  /**
   * One run of a request.
   *
   * @param millisLeft the time that its caller still waited when it was sent
   * @param tryNumber the try of its caller that it belongs to, from 1
   */
  record Run(
      String requestId,
      String engine,
      String senderHost,
      long millisLeft,
      int tryNumber,
      long begunNanos,
      long endedNanos) {}

  /**
   * A request that an engine worked on while it ran at the engine that it was sent to next. A
   * suspended engine may begin later than that one.
   */
  record Overlap(Run earlier, Run later) {

    /** How long the engine that was left worked on beside the other. */
    long nanos() {
      return earlier.endedNanos() - Math.max(earlier.begunNanos(), later.begunNanos());
    }
  }

  /**
   * Reads the output of an engine's process.
   *
   * @param lines see {@link EngineProcessMain}; others are passed over
   * @param killedNanos when the process was killed, which ended what it worked on
   */
  void read(String engine, List<String> lines, long killedNanos) {
    Map<String, Long> ends = new HashMap<>();
    for (String line : lines) {
      String[] words = line.split(" ");
      if (words[0].equals("end")) {
        ends.put(words[1], Long.parseLong(words[2]));
      }
    }
    for (String line : lines) {
      String[] words = line.split(" ");
      if (words[0].equals("run")) {
        add(
            new Run(
                words[1],
                engine,
                words[3],
                Long.parseLong(words[4]),
                Integer.parseInt(words[5]),
                Long.parseLong(words[2]),
                ends.getOrDefault(words[1], killedNanos)));
      }
    }
  }

  private void add(Run run) {
    count++;
    byRequest.computeIfAbsent(run.requestId(), id -> new ArrayList<>()).add(run);
  }

  /** How many runs there were. */
  int count() {
    return count;
  }

  /** How many times this request ran. */
  int runsOf(String requestId) {
    return byRequest.getOrDefault(requestId, List.of()).size();
  }

  /** How many times this request ran for one of its tries. */
  long runsOf(String requestId, int tryNumber) {
    return byRequest.getOrDefault(requestId, List.of()).stream()
        .filter(run -> run.tryNumber() == tryNumber)
        .count();
  }

  /** Runs that went on for longer than {@link #OVERLAP_NANOS} beside the next one. */
  List<Overlap> overlaps() {
    List<Overlap> found = new ArrayList<>();
    for (List<Run> runs : byRequest.values()) {
      runs.sort(
          Comparator.comparingLong(Run::millisLeft).reversed().thenComparingLong(Run::begunNanos));
      for (int later = 1; later < runs.size(); later++) {
        Overlap overlap = new Overlap(runs.get(later - 1), runs.get(later));
        if (overlap.nanos() > OVERLAP_NANOS) {
          found.add(overlap);
        }
      }
    }
    return found;
  }
}
