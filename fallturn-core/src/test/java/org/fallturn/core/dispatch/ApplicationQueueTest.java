package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.APPLICATION;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/** Which application requests wait at a node, and what becomes of them. */
class ApplicationQueueTest {

  private static final int WORK_MILLIS = 250;

  /** Eight slots, and so much work ahead as an aim of 500 ms allows. */
  private static final int MOST = 16;

  private final ServingEngine one = Requests.engine("a-1", APPLICATION, EngineStage.NONE);
  private final ServingEngine two = Requests.engine("a-2", APPLICATION, EngineStage.NONE);

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private static Dispatcher loneNode(ServingEngine... engines) {
    Dispatcher dispatcher = Requests.dispatcher(engines);
    dispatcher.setNodeCount(OptionalInt.empty());
    RequestProgress first = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(first, after(-WORK_MILLIS));
    dispatcher.onFinished(first, START);
    return dispatcher;
  }

  private static List<RequestProgress> fill(Dispatcher dispatcher, int count) {
    List<RequestProgress> sent = new ArrayList<>();
    for (int request = 0; request < count; request++) {
      RequestProgress progress = Requests.application(RequestKind.IDEMPOTENT, 2);
      assertThat(dispatcher.start(progress, START)).isInstanceOf(Decision.Run.class);
      sent.add(progress);
    }
    return sent;
  }

  @Test
  void requestsBeyondWhatIsWorkedOffInTimeWaitAndGoWhenThereIsRoom() {
    Dispatcher dispatcher = loneNode(one);
    List<RequestProgress> sent = fill(dispatcher, MOST);
    RequestProgress waits = Requests.applicationAt(after(1), RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(waits, after(1))).isInstanceOf(Decision.Wait.class);
    assertThat(dispatcher.takeEndedWaits(after(2))).isEmpty();
    dispatcher.onFinished(sent.get(0), after(3));
    List<Dispatcher.EndedWait> ended = dispatcher.takeEndedWaits(after(3));
    assertThat(ended).extracting(Dispatcher.EndedWait::progress).containsExactly(waits);
    assertThat(ended.get(0).decision()).isInstanceOf(Decision.Run.class);
    assertThat(dispatcher.waitingCount()).isZero();
  }

  @Test
  void requestThatCannotBeInTimeGoesBehindOneThatCan() {
    Dispatcher dispatcher = loneNode(one);
    List<RequestProgress> sent = fill(dispatcher, MOST);
    RequestProgress older = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(older, after(1));
    RequestProgress newer = Requests.applicationAt(after(400), RequestKind.IDEMPOTENT, 2);
    dispatcher.start(newer, after(400));
    dispatcher.onFinished(sent.get(0), after(401));
    assertThat(dispatcher.takeEndedWaits(after(401)))
        .extracting(Dispatcher.EndedWait::progress)
        .containsExactly(newer);
  }

  @Test
  void requestWhoseTimeWouldBeOverIsRefusedTruthfully() {
    Dispatcher dispatcher = loneNode(one);
    fill(dispatcher, MOST);
    RequestProgress waits = Requests.application(RequestKind.NON_IDEMPOTENT, 1);
    dispatcher.start(waits, after(1));
    assertThat(dispatcher.takeEndedWaits(after(4_800))).isEmpty();
    List<Dispatcher.EndedWait> ended = dispatcher.takeEndedWaits(after(4_900));
    Decision.Refuse refuse = (Decision.Refuse) ended.get(0).decision();
    assertThat(refuse.kind().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refuse.retryAfter()).isPresent();
  }

  @Test
  void nothingWaitsAtANodeThatStops() {
    Dispatcher dispatcher = loneNode(one);
    fill(dispatcher, MOST);
    dispatcher.start(Requests.application(RequestKind.IDEMPOTENT, 2), after(1));
    List<Dispatcher.EndedWait> ended = dispatcher.closeWaits();
    assertThat(((Decision.Refuse) ended.get(0).decision()).kind()).isEqualTo(ErrorKind.STOPPING);
    RequestProgress later = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(later, after(2))).isInstanceOf(Decision.Run.class);
  }

  @Test
  void callerThatLeavesLeavesNothingWaiting() {
    Dispatcher dispatcher = loneNode(one);
    fill(dispatcher, MOST);
    RequestProgress waits = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(waits, after(1));
    dispatcher.onAbandoned(waits, after(2));
    assertThat(dispatcher.waitingCount()).isZero();
    assertThat(dispatcher.waitingBytes()).isZero();
  }

  /** The engine that had the requests dies: they go on at the other, and what waits after them. */
  @Test
  void waitingRequestsGoElsewhereWhenAnEngineDies() {
    Dispatcher dispatcher = loneNode(one, two);
    List<RequestProgress> sent = fill(dispatcher, 2 * MOST);
    RequestProgress waits = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(waits, after(1))).isInstanceOf(Decision.Wait.class);
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(two)), after(2));
    sent.stream()
        .filter(request -> request.engine().orElseThrow().equals(one))
        .toList()
        .forEach(request -> dispatcher.onFailure(request, AttemptOutcome.NOT_SENT, after(3)));
    assertThat(dispatcher.takeEndedWaits(after(4))).isEmpty();
    sent.stream()
        .filter(request -> request.engine().filter(two::equals).isPresent())
        .toList()
        .forEach(request -> dispatcher.onFinished(request, after(5)));
    assertThat(dispatcher.takeEndedWaits(after(6)))
        .extracting(Dispatcher.EndedWait::progress)
        .contains(waits);
    assertThat(dispatcher.waitingCount()).isZero();
  }

  /** Full engines turned away 1 of 6 requests, as the nodes went on to send. */
  @Test
  void engineThatTurnedAwayIsNotOverfilledAgain() {
    Dispatcher dispatcher = loneNode(one);
    List<RequestProgress> sent = fill(dispatcher, MOST - 4);
    dispatcher.onFailure(sent.get(0), AttemptOutcome.NOT_EXECUTED, after(1));
    RequestProgress next = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(next, after(2))).isInstanceOf(Decision.Wait.class);
  }

  /** A hundred nodes receive that two full engines have room for eight again. */
  @Test
  void nodesThatHearOfRoomTogetherDoNotOverfillIt() {
    EngineDigest digest = new EngineDigest(MOST - 4, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD);
    Map<String, EngineDigest> heard = Map.of("a-1", digest, "a-2", digest);
    int sent = 0;
    for (int node = 0; node < 100; node++) {
      Dispatcher dispatcher = loneNode(one, two);
      dispatcher.setNodeCount(OptionalInt.of(100));
      Requests.receive(dispatcher, new LoadDigest("n-2", 1, 1, heard, List.of(), Map.of()), START);
      for (int step = 0; step < 20; step++) {
        long now = after(1 + 5 * step);
        if (step < 3) {
          dispatcher.start(Requests.applicationAt(now, RequestKind.IDEMPOTENT, 2), now);
        }
        dispatcher.takeEndedWaits(now);
      }
      sent += 3 - dispatcher.waitingCount();
    }
    assertThat(sent).isLessThanOrEqualTo(5 * 8);
  }
}
