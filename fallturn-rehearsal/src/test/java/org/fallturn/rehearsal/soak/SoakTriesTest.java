package org.fallturn.rehearsal.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.rehearsal.soak.SoakCheckTest.broken;
import static org.fallturn.rehearsal.soak.SoakCheckTest.oneCall;
import static org.fallturn.rehearsal.soak.SoakCheckTest.seconds;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.DoubleStream;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request that is sent again with its id hiding that it ran twice, or that it ran
 * though a try was refused.
 */
class SoakTriesTest {

  private static final String ID = "again";

  private static SoakRecord.Call served(SoakRecord.Kind kind, int gateway, double sent) {
    String body = kind.model() ? EmulatedEngine.wholeStream() : "answer of a-1";
    return answered(kind, gateway, sent, 200, body);
  }

  private static SoakRecord.Call refused(SoakRecord.Kind kind, int gateway, double sent) {
    return answered(kind, gateway, sent, 503, "");
  }

  private static SoakRecord.Call answered(
      SoakRecord.Kind kind, int gateway, double sent, int status, String body) {
    return new SoakRecord.Call(
        ID,
        kind,
        gateway,
        seconds(sent),
        seconds(sent + 0.4),
        Optional.empty(),
        status,
        body,
        true);
  }

  /** The tries among sound requests. */
  private static SoakRecord record(List<SoakRecord.Call> tries, double... runs) {
    SoakRecord sound =
        oneCall(SoakCheckTest.call("other", SoakRecord.Kind.ONCE, 200, "answer of a-1"), 1);
    List<SoakRecord.Call> calls = new ArrayList<>(sound.calls());
    calls.addAll(tries);
    return withCalls(sound, calls, List.of(), runs);
  }

  private static SoakRecord withCalls(
      SoakRecord sound,
      List<SoakRecord.Call> calls,
      List<SoakRecord.Arrival> arrivals,
      double... runs) {
    return new SoakRecord(
        calls,
        arrivals,
        Map.of(ID, runs.length),
        Map.of(ID, DoubleStream.of(runs).mapToObj(SoakCheckTest::seconds).toList()),
        List.of(),
        sound.rests(),
        sound.limits(),
        List.of(),
        List.of(),
        sound.control(),
        sound.calmFromNanos());
  }

  @ParameterizedTest
  @EnumSource(SoakRecord.Kind.class)
  void requestThatIsRefusedAndThenServedBreaksNothing(SoakRecord.Kind kind) {
    List<SoakRecord.Call> tries =
        List.of(refused(kind, 0, 20), refused(kind, 1, 21), served(kind, 2, 22));
    assertThat(broken(record(tries, 22.1))).isEmpty();
    assertThat(broken(record(tries.subList(0, 2)))).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(SoakRecord.Kind.class)
  void requestThatRanThoughAllItsTriesWereRefusedIsFound(SoakRecord.Kind kind) {
    List<SoakRecord.Call> tries = List.of(refused(kind, 0, 20), refused(kind, 0, 21));
    assertThat(broken(record(tries, 21.1))).containsExactly(SoakCheck.NOT_RUN_IS_TRUE);
    assertThat(broken(record(tries, 20.1))).containsExactly(SoakCheck.NOT_RUN_IS_TRUE);
  }

  /** Also where the run began after the answer, or only the try after it was served. */
  @ParameterizedTest
  @ValueSource(doubles = {20.1, 20.9})
  void runOfARefusedTryBeforeOneThatWasServedIsFound(double begun) {
    SoakRecord.Kind kind = SoakRecord.Kind.IDEMPOTENT;
    List<SoakRecord.Call> tries = List.of(refused(kind, 0, 20), served(kind, 0, 21));
    assertThat(broken(record(tries, begun, 21.1))).containsExactly(SoakCheck.NOT_RUN_IS_TRUE);
    assertThat(broken(record(tries, 21.1, 21.3))).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = SoakRecord.Kind.class,
      names = {"ONCE", "STREAM"})
  void secondRunOverAllTriesOfWhatMayNotBeRepeatedIsFoundOnce(SoakRecord.Kind kind) {
    SoakRecord record = record(List.of(refused(kind, 0, 20), served(kind, 0, 21)), 21.1, 21.2);
    assertThat(broken(record)).containsExactly(SoakCheck.AT_MOST_ONCE);
    assertThat(SoakCheck.AT_MOST_ONCE.violations(record)).hasSize(1);
  }

  /** A caller's own tries are no repeats of gateways; a second arrival within one is. */
  @Test
  void arrivalsAreCountedByTry() {
    SoakRecord.Kind kind = SoakRecord.Kind.IDEMPOTENT;
    List<SoakRecord.Call> tries = new ArrayList<>();
    List<SoakRecord.Arrival> arrivals = new ArrayList<>();
    for (int index = 0; index < 2 * SoakFleet.RETRY_SLACK; index++) {
      double sent = 20 + index / 100.0;
      tries.add(refused(kind, 0, sent));
      arrivals.add(new SoakRecord.Arrival("a-1", ID, seconds(sent + 0.001), false));
    }
    SoakRecord sound =
        oneCall(SoakCheckTest.call("other", SoakRecord.Kind.ONCE, 200, "answer of a-1"), 1);
    List<SoakRecord.Call> calls = new ArrayList<>(sound.calls());
    calls.addAll(tries);
    assertThat(SoakCheck.RETRY_BUDGET.violations(withCalls(sound, calls, arrivals))).isEmpty();
    List<SoakRecord.Arrival> twice = new ArrayList<>(arrivals);
    twice.addAll(arrivals);
    assertThat(SoakCheck.RETRY_BUDGET.violations(withCalls(sound, calls, twice))).isNotEmpty();
  }

  /** An arrival is told from the gateway that was asked in its try. */
  @Test
  void arrivalBelongsToTheLastTryThatWasSentBefore() {
    SoakRecord.Kind kind = SoakRecord.Kind.ONCE;
    SoakTries tries =
        SoakTries.of(
            Arrays.asList(served(kind, 2, 22), refused(kind, 0, 20), refused(kind, 1, 21)));
    assertThat(gatewayAt(tries, 19)).isZero();
    assertThat(gatewayAt(tries, 20.5)).isZero();
    assertThat(gatewayAt(tries, 21)).isEqualTo(1);
    assertThat(gatewayAt(tries, 23)).isEqualTo(2);
    assertThat(tries.gateway(new SoakRecord.Arrival("a-1", "unknown", 0, false))).isNegative();
  }

  private static int gatewayAt(SoakTries tries, double nanos) {
    return tries.gateway(new SoakRecord.Arrival("a-1", ID, seconds(nanos), false));
  }
}
