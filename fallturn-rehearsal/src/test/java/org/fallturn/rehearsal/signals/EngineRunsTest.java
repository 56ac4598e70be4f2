package org.fallturn.rehearsal.signals;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
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

  @Test
  void requestThatRanAtTwoEnginesIsCounted() {
    read(
        "a",
        LATE,
        EngineProcessMain.runLine("r", 0, HOST),
        EngineProcessMain.endLine("r", 1, true));
    read(
        "b",
        LATE,
        EngineProcessMain.runLine("r", 2, HOST),
        EngineProcessMain.endLine("r", 3, true));
    assertThat(runs.count()).isEqualTo(2);
    assertThat(runs.runsOf("r")).isEqualTo(2);
    assertThat(runs.runsOf("other")).isZero();
    assertThat(runs.overlaps()).isEmpty();
  }

  @Test
  void runThatGoesOnBesideALaterOneIsFound() {
    read("b", LATE, EngineProcessMain.runLine("r", BEGIN, HOST));
    read(
        "a",
        LATE,
        EngineProcessMain.runLine("r", 0, HOST),
        "something else\n",
        EngineProcessMain.endLine("r", BEGIN + LATE + 1, true));
    assertThat(runs.overlaps()).extracting(Overlap::nanos).isEqualTo(List.of(LATE + 1));
  }

  @Test
  void laterRunThatIsGivenUpIsFoundOnceItGoesOnForTooLong() {
    read("a", LATE, EngineProcessMain.runLine("r", 0, HOST));
    read(
        "b",
        LATE,
        EngineProcessMain.runLine("r", BEGIN, HOST),
        EngineProcessMain.endLine("r", BEGIN + LATE, false));
    assertThat(runs.overlaps()).isEmpty();
    read(
        "c",
        LATE,
        EngineProcessMain.runLine("r", BEGIN + 1, HOST),
        EngineProcessMain.endLine("r", BEGIN + LATE + 2, false));
    assertThat(runs.overlaps()).extracting(Overlap::nanos).isEqualTo(List.of(LATE + 1));
  }

  @Test
  void runEndsWithItsProcess() {
    read("a", BEGIN + LATE, EngineProcessMain.runLine("r", 0, HOST));
    read("b", Long.MAX_VALUE, EngineProcessMain.runLine("r", BEGIN, HOST));
    assertThat(runs.overlaps()).isEmpty();
  }
}
