package org.fallturn.rehearsal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.fallturn.rehearsal.emulator.OpenWork;
import org.junit.jupiter.api.Test;

/** The check on requests that are at two engines finds those, and nothing else. */
class SoakOverlapsTest {

  private static final String SENDER = "127.0.0.2";
  private static final List<SoakRecord.Overlap> FOUND =
      List.of(new SoakRecord.Overlap("one", "a-1", "a-2"));

  private static List<SoakRecord.Overlap> overlaps(
      double workEnds, String reached, double reachedAt, BiPredicate<String, Long> reaches) {
    OpenWork work =
        new OpenWork("one", SENDER, SoakCheckTest.seconds(5), SoakCheckTest.seconds(workEnds));
    SoakRecord.Arrival first =
        new SoakRecord.Arrival("a-1", "one", SoakCheckTest.seconds(5), false);
    SoakRecord.Arrival next =
        new SoakRecord.Arrival(reached, "one", SoakCheckTest.seconds(reachedAt), false);
    return SoakOverlaps.of(Map.of("a-1", List.of(work)), List.of(first, next), reaches);
  }

  private static List<SoakRecord.Overlap> overlaps(double workEnds, double reachedAt) {
    return overlaps(workEnds, "a-2", reachedAt, (host, nanos) -> host.equals(SENDER));
  }

  @Test
  void workThatGoesOnWhileAnotherEngineHasTheRequestIsFound() {
    assertThat(overlaps(6.5, 6)).isEqualTo(FOUND);
    assertThat(overlaps(6.3, 6)).isEmpty();
    assertThat(overlaps(5.9, 6)).isEmpty();
    assertThat(overlaps(6.5, "a-1", 6, (host, nanos) -> true)).isEmpty();
  }

  @Test
  void gatewayThatDoesNotReachTheEngineIsExcused() {
    assertThat(overlaps(6.5, "a-2", 6, (host, nanos) -> false)).isEmpty();
    assertThat(overlaps(6.5, "a-2", 6, (host, nanos) -> nanos < SoakCheckTest.seconds(6.2)))
        .isEmpty();
  }

  @Test
  void overlapBreaksItsCheckAlone() {
    SoakRecord good =
        SoakCheckTest.oneCall(
            SoakCheckTest.call("one", SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-2"), 1);
    SoakRecord.Control none = SoakRecord.Control.none();
    SoakRecord broken =
        new SoakRecord(
            good.calls(),
            good.arrivals(),
            good.runs(),
            good.drains(),
            good.rests(),
            good.limits(),
            good.troubles(),
            good.poisons(),
            new SoakRecord.Control(
                none.probes(),
                none.orders(),
                none.ends(),
                none.cutOffs(),
                none.crowds(),
                none.beginWithPoison(),
                none.streams(),
                none.usage(),
                new SoakRecord.Departures(List.of(), List.of(), FOUND)),
            good.calmFromNanos());
    assertThat(SoakCheckTest.broken(good)).isEmpty();
    assertThat(SoakCheckTest.broken(broken)).containsExactly(SoakCheck.ONE_ENGINE_AT_A_TIME);
  }
}
