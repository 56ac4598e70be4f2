package org.fallturn.rehearsal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.OpenWork;
import org.junit.jupiter.api.Test;

/** The checks on callers that leave find what goes on for them, and nothing else. */
class SoakDeparturesTest {

  private static SoakRecord withDepartures(
      List<SoakRecord.Arrival> arrivals,
      List<OpenWork> work,
      List<SoakRecord.Trouble> troubles,
      boolean inTouch) {
    SoakRecord good =
        SoakCheckTest.oneCall(
            SoakCheckTest.call("one", SoakRecord.Kind.STREAM, 200, EmulatedEngine.wholeStream()),
            1);
    List<SoakRecord.Departure> left = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      left.add(
          new SoakRecord.Departure(
              "left-" + index, SoakRecord.Kind.IDEMPOTENT, 0, SoakCheckTest.seconds(5), inTouch));
    }
    SoakRecord.Control none = SoakRecord.Control.none();
    return new SoakRecord(
        good.calls(),
        arrivals,
        good.runs(),
        List.of(),
        List.of(),
        List.of(),
        troubles,
        List.of(),
        new SoakRecord.Control(
            none.probes(),
            none.orders(),
            none.ends(),
            none.cutOffs(),
            none.crowds(),
            none.beginWithPoison(),
            none.streams(),
            none.usage(),
            new SoakRecord.Departures(left, work)),
        SoakCheckTest.seconds(10));
  }

  private static List<SoakRecord.Arrival> arrivalsOfLeft(int count, double at) {
    List<SoakRecord.Arrival> arrivals = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      arrivals.add(
          new SoakRecord.Arrival("a-1", "left-" + index, SoakCheckTest.seconds(at), false));
    }
    return arrivals;
  }

  @Test
  void requestsThatAreSentForCallersWhoHaveLeftAreFound() {
    List<SoakRecord.Arrival> late = arrivalsOfLeft(4, 5.6);
    List<SoakRecord.Trouble> stood =
        List.of(new SoakRecord.Trouble(1, SoakCheckTest.seconds(5.1), SoakCheckTest.seconds(5.5)));
    assertThat(SoakCheckTest.broken(withDepartures(late, List.of(), List.of(), true)))
        .containsExactly(SoakCheck.GONE_IS_NOT_SENT);
    assertThat(SoakCheckTest.broken(withDepartures(late, List.of(), List.of(), false))).isEmpty();
    assertThat(SoakCheckTest.broken(withDepartures(late, List.of(), stood, true))).isEmpty();
    assertThat(
            SoakCheckTest.broken(
                withDepartures(arrivalsOfLeft(4, 5.4), List.of(), List.of(), true)))
        .isEmpty();
    assertThat(
            SoakCheckTest.broken(
                withDepartures(arrivalsOfLeft(3, 5.6), List.of(), List.of(), true)))
        .isEmpty();
  }

  @Test
  void workThatGoesOnForCallersWhoHaveLeftIsFound() {
    assertThat(SoakCheckTest.broken(withDepartures(List.of(), workOfLeft(2), List.of(), true)))
        .containsExactly(SoakCheck.GONE_ENDS_AT_ENGINES);
    assertThat(SoakCheckTest.broken(withDepartures(List.of(), workOfLeft(1), List.of(), true)))
        .isEmpty();
    assertThat(SoakCheckTest.broken(withDepartures(List.of(), workOfLeft(2), List.of(), false)))
        .isEmpty();
  }

  /** Work for all callers that left, some of which goes on without end. */
  private static List<OpenWork> workOfLeft(int endless) {
    List<OpenWork> work = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      long end = index < endless ? Long.MAX_VALUE : SoakCheckTest.seconds(5.1);
      work.add(new OpenWork("left-" + index, SoakCheckTest.seconds(4), end));
    }
    return work;
  }
}
