package org.fallturn.rehearsal.signals;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.rehearsal.emulator.EngineProcessMain;
import org.fallturn.rehearsal.signals.EngineRuns.Overlap;
import org.junit.jupiter.api.Test;

/** Guards against a check of runs that finds nothing. */
class EngineRunsTest {

  private static final String HOST = "127.0.0.1";
  private static final long BEGIN = 5_000;
  private static final long LATE = EngineRuns.OVERLAP_NANOS;

  private final EngineRuns runs = new EngineRuns();

  private void read(String engine, long killedNanos, String... lines) {
    runs.read(engine, String.join("", lines).lines().toList(), killedNanos);
  }

  private static String first(long nanos) {
    return EngineProcessMain.runLine("r", nanos, HOST, "3000", "1");
  }

  private static String second(long nanos) {
    return EngineProcessMain.runLine("r", nanos, HOST, "2500", "1");
  }

  private static String end(long nanos) {
    return EngineProcessMain.endLine("r", nanos);
  }

  @Test
  void requestThatRanAtTwoEnginesIsCounted() {
    read("a", LATE, first(0), end(1));
    read("b", 3 * LATE, second(2));
    assertThat(runs.count()).isEqualTo(2);
    assertThat(runs.runsOf("r")).isEqualTo(2);
    assertThat(runs.runsOf("other")).isZero();
    assertThat(runs.overlaps()).isEmpty();
  }

  @Test
  void runThatGoesOnBesideTheNextOneIsFound() {
    read("b", LATE, second(BEGIN));
    read("a", LATE, first(0), "something else\n", end(BEGIN + LATE + 1));
    assertThat(runs.overlaps()).extracting(Overlap::nanos).isEqualTo(List.of(LATE + 1));
  }

  @Test
  void runOfASuspendedEngineIsFoundOnceItGoesOnForTooLong() {
    read("b", 9 * LATE, second(0));
    read("a", 9 * LATE, first(BEGIN), end(BEGIN + LATE));
    assertThat(runs.overlaps()).isEmpty();
    read("c", 9 * LATE, EngineProcessMain.runLine("s", 0, HOST, "2000", "1"));
    read("d", BEGIN + LATE + 1, EngineProcessMain.runLine("s", BEGIN, HOST, "2500", "1"));
    assertThat(runs.overlaps()).extracting(Overlap::nanos).isEqualTo(List.of(LATE + 1));
  }

  @Test
  void runEndsWithItsProcess() {
    read("a", BEGIN + LATE, first(0));
    read("b", Long.MAX_VALUE, second(BEGIN));
    assertThat(runs.overlaps()).isEmpty();
  }
}
