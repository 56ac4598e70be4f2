package org.fallturn.rehearsal.signals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The runs that engines printed, and those that break a promise. Times are nanoTime. */
final class EngineRuns {

  /** How long an engine may still work on a request that goes on at another engine. */
  static final long OVERLAP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final Map<String, List<Run>> byRequest = new HashMap<>();
  private int count;

  /** One run of a request. */
  record Run(
      String requestId,
      String engine,
      String senderHost,
      long begunNanos,
      long endedNanos,
      boolean givenUp) {}

  /** A request that one engine worked on while another one ran it. */
  record Overlap(Run earlier, Run later) {

    /**
     * How long the engine that was given up worked on beside the other. That may be the one whose
     * run began later: a suspended engine reads a request after its connection was reset.
     */
    long nanos() {
      long ended = later.givenUp() ? later.endedNanos() : earlier.endedNanos();
      return ended - later.begunNanos();
    }
  }

  /**
   * Reads the output of an engine's process.
   *
   * @param lines see {@link EngineProcessMain}; others are passed over
   * @param killedNanos when the process was killed, which ended what it worked on
   */
  void read(String engine, List<String> lines, long killedNanos) {
    Map<String, String[]> ends = new HashMap<>();
    for (String line : lines) {
      String[] words = line.split(" ");
      if (words[0].equals("end")) {
        ends.put(words[1], words);
      }
    }
    for (String line : lines) {
      String[] words = line.split(" ");
      if (words[0].equals("run")) {
        String[] end = ends.get(words[1]);
        long ended = end == null ? killedNanos : Long.parseLong(end[2]);
        boolean givenUp = end != null && !end[3].equals(EngineProcessMain.DONE);
        add(new Run(words[1], engine, words[3], Long.parseLong(words[2]), ended, givenUp));
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

  /** Runs that went on for longer than {@link #OVERLAP_NANOS} beside a later one. */
  List<Overlap> overlaps() {
    List<Overlap> found = new ArrayList<>();
    for (List<Run> runs : byRequest.values()) {
      runs.sort(Comparator.comparingLong(Run::begunNanos));
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
