package org.fallturn.rehearsal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.StreamEvents;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each check finds what a broken gateway or engine would leave behind, and nothing else. */
class SoakCheckTest {

  private static final String FIRST_PEER_FAULT_OF_81002 =
      "  4952 to   8017 ms  PEER_REQUESTS_SILENT 88745976";
  private static final long CALM = seconds(10);
  private static final String WHOLE = EmulatedEngine.wholeStream();

  private static final SoakRecord.GatewayEnds NO_ENDS = SoakRecord.Control.none().ends();

  static long seconds(double seconds) {
    return (long) (seconds * 1e9);
  }

  static SoakRecord.Call call(String id, SoakRecord.Kind kind, int status, String body) {
    return new SoakRecord.Call(
        id, kind, 0, seconds(20), seconds(20), Optional.empty(), status, body, status != 0);
  }

  private static SoakRecord record(
      List<SoakRecord.Call> calls,
      List<SoakRecord.Arrival> arrivals,
      Map<String, Integer> runs,
      List<SoakRecord.Drain> drains) {
    return new SoakRecord(
        calls,
        arrivals,
        runs,
        drains,
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        SoakRecord.Control.none(),
        CALM);
  }

  static List<SoakCheck> broken(SoakRecord record) {
    return Arrays.stream(SoakCheck.values())
        .filter(check -> !check.violations(record).isEmpty())
        .toList();
  }

  static SoakRecord oneCall(SoakRecord.Call call, int runs) {
    SoakRecord.Call good = call("good", SoakRecord.Kind.STREAM, 200, WHOLE);
    List<SoakRecord.Call> calls = new ArrayList<>(List.of(call));
    for (int index = 0; index < 30; index++) {
      calls.add(good);
    }
    return record(calls, List.of(), Map.of(call.requestId(), runs), List.of());
  }

  @ParameterizedTest
  @EnumSource(SoakRecord.Kind.class)
  void whatIsServedWholeAndOnceBreaksNothing(SoakRecord.Kind kind) {
    String body = kind.model() ? WHOLE : "answer of a-1";
    assertThat(broken(oneCall(call("one", kind, 200, body), 1))).isEmpty();
  }

  @Test
  void answerThatLacksItsEndAndLooksWholeIsFound() {
    SoakRecord.Call cut =
        call("cut", SoakRecord.Kind.STREAM, 200, WHOLE.substring(0, WHOLE.length() / 2));
    assertThat(broken(oneCall(cut, 1))).containsExactly(SoakCheck.WHOLE_ANSWERS);
    SoakRecord.Call foreign = call("foreign", SoakRecord.Kind.ONCE, 200, "of another request");
    assertThat(broken(oneCall(foreign, 1))).containsExactly(SoakCheck.WHOLE_ANSWERS);
  }

  @Test
  void secondRunOfWhatMayNotBeRepeatedIsFound() {
    assertThat(broken(oneCall(call("twice", SoakRecord.Kind.ONCE, 200, "answer of a-1"), 2)))
        .containsExactly(SoakCheck.AT_MOST_ONCE);
    assertThat(broken(oneCall(call("again", SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-1"), 2)))
        .isEmpty();
  }

  @Test
  void requestThatRanAndIsCalledNotRunIsFound() {
    assertThat(broken(oneCall(call("ran", SoakRecord.Kind.ONCE, 503, ""), 1)))
        .containsExactly(SoakCheck.NOT_RUN_IS_TRUE);
    assertThat(broken(oneCall(call("ran", SoakRecord.Kind.IDEMPOTENT, 503, ""), 1)))
        .containsExactly(SoakCheck.NOT_RUN_IS_TRUE);
    assertThat(broken(oneCall(call("unknown", SoakRecord.Kind.ONCE, 502, ""), 1))).isEmpty();
  }

  @Test
  void requestThatReachesALeavingEngineLateIsFound() {
    SoakRecord.Drain drain = new SoakRecord.Drain("d-1", seconds(1), seconds(9));
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.STREAM, 200, WHOLE), 1);
    List<SoakRecord.Arrival> soon =
        List.of(new SoakRecord.Arrival("d-1", "one", seconds(2.9), false));
    List<SoakRecord.Arrival> late =
        List.of(new SoakRecord.Arrival("d-1", "one", seconds(3.6), false));
    assertThat(broken(record(good.calls(), soon, good.runs(), List.of(drain)))).isEmpty();
    assertThat(broken(record(good.calls(), late, good.runs(), List.of(drain))))
        .containsExactly(SoakCheck.LEAVING_GETS_NOTHING);
  }

  @Test
  void sendsBeyondTheRetryBudgetAreFound() {
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-1"), 1);
    List<SoakRecord.Arrival> arrivals = new ArrayList<>();
    for (int send = 0; send < SoakFleet.RETRY_SLACK + 2; send++) {
      arrivals.add(new SoakRecord.Arrival("a-1", "one", seconds(21), false));
    }
    assertThat(broken(record(good.calls(), arrivals, good.runs(), List.of())))
        .containsExactly(SoakCheck.RETRY_BUDGET);
    List<SoakRecord.Arrival> fewer = arrivals.subList(0, (int) SoakFleet.RETRY_SLACK);
    assertThat(broken(record(good.calls(), fewer, good.runs(), List.of()))).isEmpty();
  }

  @Test
  void contentThatCrashesEnginesAndIsSentOnIsFound() {
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.STREAM, 200, WHOLE), 1);
    List<Long> crashes = List.of(seconds(1), seconds(2), seconds(3));
    double bound = 3 + SoakFleet.CONTACT.toMillis() / 1e3;
    assertThat(broken(withPoison(good, crashes, 4, bound + 0.1)))
        .containsExactly(SoakCheck.POISON_HELD_BACK);
    assertThat(broken(withPoison(good, crashes, 3, bound + 0.1))).isEmpty();
    assertThat(broken(withPoison(good, crashes, 4, bound - 0.1))).isEmpty();
    assertThat(broken(withPoison(good, crashes.subList(0, 2), 4, bound + 0.1))).isEmpty();
  }

  private static SoakRecord withPoison(
      SoakRecord good, List<Long> crashes, int sends, double atSeconds) {
    SoakRecord.Arrival send = new SoakRecord.Arrival("d-1", "p", seconds(atSeconds), false);
    SoakRecord.Poison poison =
        new SoakRecord.Poison("poison", 3, crashes, Collections.nCopies(sends, send));
    return new SoakRecord(
        good.calls(),
        good.arrivals(),
        good.runs(),
        good.drains(),
        List.of(),
        List.of(),
        List.of(),
        List.of(poison),
        SoakRecord.Control.none(),
        CALM);
  }

  @Test
  void fleetThatDoesNotServeAgainIsFound() {
    List<SoakRecord.Call> refused = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      refused.add(call("r-" + index, SoakRecord.Kind.IDEMPOTENT, 503, ""));
    }
    assertThat(broken(record(refused, List.of(), Map.of(), List.of())))
        .containsExactly(SoakCheck.RECOVERS);
  }

  @Test
  void scheduleIsDrawnFromItsSeedAndEndsCalm() {
    Duration length = Duration.ofMinutes(1);
    SoakSchedule schedule = SoakSchedule.draw(7, length);
    assertThat(schedule).isEqualTo(SoakSchedule.draw(7, length));
    assertThat(schedule).isNotEqualTo(SoakSchedule.draw(8, length));
    assertThat(schedule.faults()).isNotEmpty();
    assertThat(schedule.faults())
        .allSatisfy(entry -> assertThat(entry.end()).isLessThan(length.minus(SoakSchedule.CALM)));
  }

  /** A request to gateway 0, which a later one follows to the engine that had said it leaves. */
  private static SoakRecord afterLeaving(double laterAt, List<SoakRecord.Trouble> troubles) {
    List<SoakRecord.Call> calls = new ArrayList<>();
    for (int index = 0; index < 40; index++) {
      calls.add(call("good-" + index, SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-1"));
    }
    calls.add(at("told", 20, Optional.of("a-1")));
    calls.add(at("late", laterAt, Optional.empty()));
    SoakRecord.Arrival arrival =
        new SoakRecord.Arrival("a-1", "late", seconds(laterAt + 0.1), false);
    return new SoakRecord(
        calls,
        List.of(arrival),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        troubles,
        List.of(),
        SoakRecord.Control.none(),
        CALM);
  }

  private static SoakRecord.Call at(String id, double atSeconds, Optional<String> leaving) {
    return new SoakRecord.Call(
        id,
        SoakRecord.Kind.IDEMPOTENT,
        0,
        seconds(atSeconds),
        seconds(atSeconds),
        leaving,
        200,
        "answer of a-1",
        true);
  }

  @Test
  void requestToAnEngineThatHadSaidThatItLeavesIsFound() {
    assertThat(broken(afterLeaving(21.9, List.of()))).isEmpty();
    assertThat(broken(afterLeaving(22.1, List.of())))
        .containsExactly(SoakCheck.LEAVING_BY_ANSWER_GETS_NOTHING);
    SoakRecord.Trouble restart = new SoakRecord.Trouble(0, seconds(21), seconds(21.5));
    assertThat(broken(afterLeaving(22.1, List.of(restart)))).isEmpty();
    SoakRecord.Trouble another = new SoakRecord.Trouble(1, seconds(21), seconds(21.5));
    assertThat(broken(afterLeaving(22.1, List.of(another)))).isNotEmpty();
  }

  /** Requests that reach an engine so many seconds after it began to turn everything away. */
  private static SoakRecord inRest(double... arrivedAt) {
    List<SoakRecord.Call> calls = new ArrayList<>();
    List<SoakRecord.Arrival> arrivals = new ArrayList<>();
    for (int index = 0; index < 40; index++) {
      calls.add(call("good-" + index, SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-1"));
    }
    for (int index = 0; index < arrivedAt.length; index++) {
      calls.add(at("r-" + index, 20 + arrivedAt[index], Optional.empty()));
      arrivals.add(
          new SoakRecord.Arrival("a-1", "r-" + index, seconds(20 + arrivedAt[index]), false));
    }
    SoakRecord.Rest rest = new SoakRecord.Rest("a-1", seconds(20), seconds(20.4));
    return new SoakRecord(
        calls,
        arrivals,
        Map.of(),
        List.of(),
        List.of(rest),
        List.of(),
        List.of(),
        List.of(),
        SoakRecord.Control.none(),
        CALM);
  }

  @Test
  void requestsToAnEngineThatWantsRestAreFound() {
    assertThat(broken(inRest(0.1, 0.2, 0.3, 0.55, 2.2))).isEmpty();
    assertThat(broken(inRest(0.1, 0.7, 1.2, 2.2))).isEmpty();
    assertThat(broken(inRest(0.1, 0.7, 1.2, 1.9))).containsExactly(SoakCheck.RESTING_GETS_NOTHING);
  }

  /** An engine takes one request a second from all, and gets some in a second, for ten seconds. */
  private static SoakRecord atALimit(int inASecond, SoakRecord.Trouble... troubles) {
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.IDEMPOTENT, 200, "answer of a-1"), 1);
    List<SoakRecord.Call> calls = new ArrayList<>(good.calls());
    List<SoakRecord.Arrival> arrivals = new ArrayList<>();
    for (int index = 0; index < 10 * inASecond; index++) {
      double at = 20 + (double) index / inASecond;
      calls.add(at("r-" + index, at, Optional.empty()));
      arrivals.add(new SoakRecord.Arrival("a-1", "r-" + index, seconds(at), false));
    }
    SoakRecord.Limit limit = new SoakRecord.Limit("a-1", 1, seconds(20), seconds(30));
    return new SoakRecord(
        calls,
        arrivals,
        Map.of(),
        List.of(),
        List.of(),
        List.of(limit),
        List.of(troubles),
        List.of(),
        SoakRecord.Control.none(),
        CALM);
  }

  @Test
  void requestsBeyondTheLimitOfAnEngineAreFound() {
    assertThat(broken(atALimit(2))).isEmpty();
    assertThat(broken(atALimit(3))).containsExactly(SoakCheck.LIMIT_KEPT);
    SoakRecord.Trouble restart = new SoakRecord.Trouble(0, seconds(22), seconds(25));
    assertThat(broken(atALimit(3, restart))).isEmpty();
  }

  private static SoakRecord withControl(SoakRecord.Control control) {
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.STREAM, 200, WHOLE), 1);
    return new SoakRecord(
        good.calls(),
        good.arrivals(),
        good.runs(),
        good.drains(),
        good.rests(),
        good.limits(),
        good.troubles(),
        good.poisons(),
        control,
        CALM);
  }

  /** A call that got no answer, and was run so often, of a gateway that was ended meanwhile. */
  private static SoakRecord unanswered(int runs, SoakRecord.GatewayEnds ends) {
    SoakRecord.Call cut =
        new SoakRecord.Call(
            "cut",
            SoakRecord.Kind.ONCE,
            0,
            seconds(20),
            seconds(21),
            Optional.empty(),
            0,
            "",
            false);
    SoakRecord record = oneCall(cut, runs);
    return new SoakRecord(
        record.calls(),
        List.of(),
        record.runs(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        new SoakRecord.Control(List.of(), Map.of(), ends, List.of(), SoakRecord.Streams.none()),
        CALM);
  }

  @Test
  void connectionThatIsClosedWithoutAnswerIsFound() {
    SoakRecord.Trouble before = new SoakRecord.Trouble(0, seconds(18), seconds(19.5));
    SoakRecord.Trouble meanwhile = new SoakRecord.Trouble(0, seconds(20.5), seconds(23));
    SoakRecord.Trouble ofAnother = new SoakRecord.Trouble(1, seconds(20.5), seconds(23));
    List<SoakRecord.Trouble> others = List.of(before, ofAnother);
    SoakRecord.GatewayEnds stops = new SoakRecord.GatewayEnds(others, List.of(meanwhile));
    SoakRecord.GatewayEnds kills =
        new SoakRecord.GatewayEnds(List.of(meanwhile), List.of(meanwhile));
    assertThat(broken(unanswered(0, NO_ENDS))).containsExactly(SoakCheck.ANSWERED);
    assertThat(broken(unanswered(0, new SoakRecord.GatewayEnds(others, others))))
        .containsExactly(SoakCheck.ANSWERED);
    assertThat(broken(unanswered(1, stops))).containsExactly(SoakCheck.ANSWERED);
    assertThat(broken(unanswered(0, stops))).isEmpty();
    assertThat(broken(unanswered(1, kills))).isEmpty();
  }

  private static SoakRecord probed(double atSeconds, int status) {
    SoakRecord.AddedRoute route = new SoakRecord.AddedRoute("added-0", seconds(1), seconds(9));
    SoakRecord.Probe probe = new SoakRecord.Probe(route, 0, seconds(atSeconds), status);
    return withControl(
        new SoakRecord.Control(
            List.of(probe), Map.of(), NO_ENDS, List.of(), SoakRecord.Streams.none()));
  }

  /** The store's return from a copy hid configurations from gateways for seconds. */
  @Test
  void gatewayThatEndsByItselfIsFound() {
    SoakRecord.GatewayEnds own =
        new SoakRecord.GatewayEnds(
            List.of(), List.of(), List.of("gateway-1 ended by itself, exit code 1"));
    SoakRecord.Control control =
        new SoakRecord.Control(List.of(), Map.of(), own, List.of(), SoakRecord.Streams.none());
    SoakRecord good = oneCall(call("one", SoakRecord.Kind.STREAM, 200, WHOLE), 1);
    SoakRecord record =
        new SoakRecord(
            good.calls(),
            List.of(),
            good.runs(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            control,
            CALM);
    assertThat(broken(record)).containsExactly(SoakCheck.GATEWAYS_RUN);
  }

  /** Seeds that were kept play the same faults once there are more lanes. */
  @Test
  void lanesThatAreAddedLeaveTheFaultsOfEarlierOnes() {
    List<SoakFault.Lane> lanes = List.of(SoakFault.Lane.values());
    assertThat(lanes)
        .endsWith(
            SoakFault.Lane.PEER_LINKS,
            SoakFault.Lane.KILLS,
            SoakFault.Lane.OUT_OF_STEP,
            SoakFault.Lane.ODD_ENTRIES,
            SoakFault.Lane.ENDLESS_ANSWERS,
            SoakFault.Lane.REPEATED_REFUSALS);
    assertThat(SoakSchedule.draw(81002, Duration.ofMinutes(1)).faults())
        .filteredOn(entry -> entry.fault() == SoakFault.PEER_REQUESTS_SILENT)
        .first()
        .hasToString(FIRST_PEER_FAULT_OF_81002);
  }

  @Test
  void gatewayIsOutOfStepForLessTimeThanAfterWhichItKnowsThat() {
    for (long seed = 0; seed < 50; seed++) {
      assertThat(SoakSchedule.draw(seed, Duration.ofMinutes(1)).faults())
          .filteredOn(entry -> SoakFault.of(SoakFault.Lane.OUT_OF_STEP).contains(entry.fault()))
          .isNotEmpty()
          .allSatisfy(
              entry ->
                  assertThat(entry.end().minus(entry.begin()))
                      .isBetween(Duration.ofMillis(500), Duration.ofMillis(2_400)));
    }
  }

  @Test
  void routeOfAnOlderConfigurationIsFound() {
    assertThat(broken(probed(3.4, 404))).isEmpty();
    assertThat(broken(probed(3.6, 404))).containsExactly(SoakCheck.CONFIGURATION_IN_FORCE);
    assertThat(broken(probed(8, 200))).isEmpty();
    assertThat(broken(probed(11.4, 200))).isEmpty();
    assertThat(broken(probed(11.6, 200))).containsExactly(SoakCheck.CONFIGURATION_IN_FORCE);
    assertThat(broken(probed(11.6, 404))).isEmpty();
  }

  private static SoakRecord ordered(SoakRecord.StageOrder... orders) {
    return withControl(
        new SoakRecord.Control(
            List.of(),
            Map.of("d-1", List.of(orders)),
            NO_ENDS,
            List.of(),
            SoakRecord.Streams.none()));
  }

  @Test
  void ordersOfTwoHoldersOfOneLeaseAreFound() {
    SoakRecord.StageOrder first = new SoakRecord.StageOrder("a", 7);
    assertThat(broken(ordered(first, first, new SoakRecord.StageOrder("b", 8)))).isEmpty();
    assertThat(broken(ordered(first, new SoakRecord.StageOrder("b", 7))))
        .containsExactly(SoakCheck.ORDERS_ARE_FENCED);
    assertThat(broken(ordered(first, new SoakRecord.StageOrder("b", 6))))
        .containsExactly(SoakCheck.ORDERS_ARE_FENCED);
  }

  /** Some answers of a gateway, of which the first ones are failures. */
  private static List<SoakRecord.Call> answers(int failures, int all) {
    List<SoakRecord.Call> calls = new ArrayList<>();
    for (int number = 0; number < all; number++) {
      calls.add(call("c-" + number, SoakRecord.Kind.STREAM, number < failures ? 503 : 200, WHOLE));
    }
    return calls;
  }

  private static List<SoakCheck> whenCutOff(int failuresThere, int failuresElsewhere) {
    SoakRecord.CutOff cutOff =
        new SoakRecord.CutOff(1, answers(failuresThere, 60), answers(failuresElsewhere, 200));
    return broken(
        withControl(
            new SoakRecord.Control(
                List.of(), Map.of(), NO_ENDS, List.of(cutOff), SoakRecord.Streams.none())));
  }

  @Test
  void callersOfAGatewayThatIsCutOffAreServedNearlyAsOthersAre() {
    assertThat(whenCutOff(50, 2)).containsExactly(SoakCheck.SERVED_WHEN_CUT_OFF);
    assertThat(whenCutOff(25, 2)).containsExactly(SoakCheck.SERVED_WHEN_CUT_OFF);
    assertThat(whenCutOff(15, 2)).isEmpty();
    assertThat(whenCutOff(50, 170)).isEmpty();
  }

  private static List<SoakCheck> whenCrowded(int failuresThere) {
    SoakRecord.CutOff crowd = new SoakRecord.CutOff(1, answers(failuresThere, 60), answers(2, 200));
    return broken(
        withControl(
            new SoakRecord.Control(
                List.of(),
                Map.of(),
                NO_ENDS,
                List.of(),
                List.of(crowd),
                List.of(),
                SoakRecord.Streams.none())));
  }

  @Test
  void callersOfAGatewayThatGetsMostConnectionsAreServedNearlyAsOthersAre() {
    assertThat(whenCrowded(20)).containsExactly(SoakCheck.SERVED_WHEN_CROWDED);
    assertThat(whenCrowded(14)).isEmpty();
  }

  private static List<SoakCheck> whenHeldBack(int heldBack, int others) {
    SoakRecord.Call refused =
        call("refused", SoakRecord.Kind.STREAM, 503, "Not sent: engines have crashed under part a");
    List<SoakRecord.Call> sound = new ArrayList<>(Collections.nCopies(heldBack, refused));
    sound.addAll(Collections.nCopies(others, call("served", SoakRecord.Kind.STREAM, 200, WHOLE)));
    return broken(
        withControl(
            new SoakRecord.Control(
                List.of(),
                Map.of(),
                NO_ENDS,
                List.of(),
                List.of(),
                sound,
                SoakRecord.Streams.none())));
  }

  @Test
  void soundRequestsThatAreHeldBackForTheirFirstPartAreFound() {
    assertThat(whenHeldBack(11, 10)).containsExactly(SoakCheck.SOUND_PARTS_SERVED);
    assertThat(whenHeldBack(10, 10)).isEmpty();
  }

  private static SoakRecord.Resumption resumption(int status, String body) {
    return new SoakRecord.Resumption(
        "begun", 0, seconds(20), "v1", status, body, status != 0, true);
  }

  private static SoakRecord withResumptions(List<SoakRecord.Resumption> resumptions) {
    SoakRecord.Call begun = call("begun", SoakRecord.Kind.RESUMABLE_STREAM, 200, WHOLE);
    SoakRecord.Streams streams =
        new SoakRecord.Streams(List.of(begun), List.of(begun), resumptions);
    return withControl(new SoakRecord.Control(List.of(), Map.of(), NO_ENDS, List.of(), streams));
  }

  @Test
  void streamWithEventsOfTwoVersionsIsFound() {
    SoakRecord.Resumption same = resumption(200, StreamEvents.after(2, "v1"));
    SoakRecord.Resumption other = resumption(200, StreamEvents.after(2, "v2"));
    assertThat(broken(withResumptions(List.of(same)))).isEmpty();
    assertThat(broken(withResumptions(List.of(other)))).containsExactly(SoakCheck.ONE_VERSION);
    String mixed = StreamEvents.after(0, "v1").replace("piece-4 of v1", "piece-4 of v2");
    SoakRecord.Call answer = call("one", SoakRecord.Kind.RESUMABLE_STREAM, 200, mixed);
    SoakRecord.Streams streams =
        new SoakRecord.Streams(List.of(answer), List.of(answer), List.of());
    SoakRecord.Control control =
        new SoakRecord.Control(List.of(), Map.of(), NO_ENDS, List.of(), streams);
    assertThat(broken(withControl(control))).containsExactly(SoakCheck.ONE_VERSION);
  }

  @Test
  void streamsThatAreRefusedThoughTheirVersionServesAreFound() {
    SoakRecord.Resumption refused = resumption(503, "");
    SoakRecord.Resumption succeeded = resumption(200, StreamEvents.after(2, "v1"));
    List<SoakRecord.Resumption> half = new ArrayList<>(Collections.nCopies(6, refused));
    half.addAll(Collections.nCopies(6, succeeded));
    assertThat(broken(withResumptions(half))).isEmpty();
    half.add(refused);
    assertThat(broken(withResumptions(half))).containsExactly(SoakCheck.STREAMS_RESUMED);
    assertThat(broken(withResumptions(Collections.nCopies(11, refused)))).isEmpty();
  }

  private static SoakRecord.UsageReport report(
      String holder, long token, long requests, double atSeconds) {
    Map<String, Long> counts = Map.of("tenant-1", requests);
    return new SoakRecord.UsageReport(7, holder, token, counts, seconds(atSeconds));
  }

  private static List<SoakCheck> reported(SoakRecord.UsageReport... reports) {
    return broken(
        withControl(
            new SoakRecord.Control(
                List.of(),
                Map.of(),
                NO_ENDS,
                List.of(),
                List.of(),
                List.of(),
                SoakRecord.Streams.none(),
                List.of(reports))));
  }

  /** A store that was restored had lost the counts that a gateway had reported before. */
  @Test
  void windowThatIsReportedAgainWithOtherCountsIsFound() {
    double calm = 1e-9 * CALM + 1;
    assertThat(reported(report("a", 1, 5, 2), report("b", 2, 5, calm))).isEmpty();
    assertThat(reported(report("a", 1, 5, 2), report("b", 2, 6, calm)))
        .containsExactly(SoakCheck.ONE_USAGE_REPORT);
    assertThat(reported(report("a", 1, 5, 2), report("b", 1, 5, calm)))
        .containsExactly(SoakCheck.ONE_USAGE_REPORT);
  }

  @Test
  void usageThatIsNoLongerReportedIsFound() {
    assertThat(reported(report("a", 1, 5, 1e-9 * CALM - 1)))
        .containsExactly(SoakCheck.USAGE_REPORTED);
  }
}
