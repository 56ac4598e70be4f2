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

/**
 * Checks which application requests wait at a node, and how their wait ends. Without the queue,
 * nodes overfilled engines that were already full, and the engines rejected requests.
 */
class ApplicationQueueTest {

  private static final int WORK_MILLIS = 250;

  /**
   * Requests that one engine is given: it has eight slots, and work of 250 ms fits twice into the
   * target latency of 500 ms.
   */
  private static final int MAX_REQUESTS = 16;

  private final ServingEngine one = Requests.engine("a-1", APPLICATION, EngineStage.NONE);
  private final ServingEngine two = Requests.engine("a-2", APPLICATION, EngineStage.NONE);

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private static Dispatcher singleNode(ServingEngine... engines) {
    Dispatcher dispatcher = Requests.dispatcher(engines);
    dispatcher.setNodeCount(OptionalInt.empty(), true);
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
  void requestsBeyondWhatFinishesInTimeWaitUntilThereIsRoom() {
    Dispatcher dispatcher = singleNode(one);
    List<RequestProgress> sent = fill(dispatcher, MAX_REQUESTS);
    RequestProgress waiting = Requests.applicationAt(after(1), RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(waiting, after(1))).isInstanceOf(Decision.Wait.class);
    assertThat(dispatcher.takeEndedWaits(after(2))).isEmpty();
    dispatcher.onFinished(sent.get(0), after(3));
    List<EndedWait> endedWaits = dispatcher.takeEndedWaits(after(3));
    assertThat(endedWaits).extracting(EndedWait::progress).containsExactly(waiting);
    assertThat(endedWaits.get(0).decision()).isInstanceOf(Decision.Run.class);
    assertThat(dispatcher.waitingCount()).isZero();
  }

  @Test
  void lateRequestRunsAfterOneThatCanBeInTime() {
    Dispatcher dispatcher = singleNode(one);
    List<RequestProgress> sent = fill(dispatcher, MAX_REQUESTS);
    RequestProgress older = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(older, after(1));
    RequestProgress newer = Requests.applicationAt(after(400), RequestKind.IDEMPOTENT, 2);
    dispatcher.start(newer, after(400));
    dispatcher.onFinished(sent.get(0), after(401));
    assertThat(dispatcher.takeEndedWaits(after(401)))
        .extracting(EndedWait::progress)
        .containsExactly(newer);
  }

  @Test
  void requestWithTooLittleTimeLeftIsRefusedAsNotRun() {
    Dispatcher dispatcher = singleNode(one);
    fill(dispatcher, MAX_REQUESTS);
    RequestProgress waiting = Requests.application(RequestKind.NON_IDEMPOTENT, 1);
    dispatcher.start(waiting, after(1));
    assertThat(dispatcher.takeEndedWaits(after(4_800))).isEmpty();
    List<EndedWait> endedWaits = dispatcher.takeEndedWaits(after(4_900));
    Decision.Refuse refuse = (Decision.Refuse) endedWaits.get(0).decision();
    assertThat(refuse.kind().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refuse.retryAfter()).isPresent();
  }

  @Test
  void stoppingNodeEndsAllWaits() {
    Dispatcher dispatcher = singleNode(one);
    fill(dispatcher, MAX_REQUESTS);
    dispatcher.start(Requests.application(RequestKind.IDEMPOTENT, 2), after(1));
    List<EndedWait> endedWaits = dispatcher.closeWaits();
    assertThat(((Decision.Refuse) endedWaits.get(0).decision()).kind())
        .isEqualTo(ErrorKind.STOPPING);
    RequestProgress later = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(later, after(2))).isInstanceOf(Decision.Run.class);
  }

  @Test
  void requestOfACallerThatLeftNoLongerWaits() {
    Dispatcher dispatcher = singleNode(one);
    fill(dispatcher, MAX_REQUESTS);
    RequestProgress waiting = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(waiting, after(1));
    dispatcher.onAbandoned(waiting, after(2));
    assertThat(dispatcher.waitingCount()).isZero();
    assertThat(dispatcher.waitingBytes()).isZero();
  }

  /**
   * When one of two engines dies, its requests go on at the other engine, and the waiting request
   * runs after them.
   */
  @Test
  void waitingRequestRunsAtAnotherEngineWhenOneDies() {
    Dispatcher dispatcher = singleNode(one, two);
    List<RequestProgress> sent = fill(dispatcher, 2 * MAX_REQUESTS);
    RequestProgress waiting = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(waiting, after(1))).isInstanceOf(Decision.Wait.class);
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
        .extracting(EndedWait::progress)
        .contains(waiting);
    assertThat(dispatcher.waitingCount()).isZero();
  }

  /** Full engines rejected 1 of 6 requests because the nodes kept sending. */
  @Test
  void engineThatRejectedARequestIsNotOverfilledAgain() {
    Dispatcher dispatcher = singleNode(one);
    List<RequestProgress> sent = fill(dispatcher, MAX_REQUESTS - 4);
    dispatcher.onFailure(sent.get(0), AttemptOutcome.NOT_EXECUTED, after(1));
    RequestProgress next = Requests.application(RequestKind.IDEMPOTENT, 2);
    assertThat(dispatcher.start(next, after(2))).isInstanceOf(Decision.Wait.class);
  }

  /**
   * A hundred nodes learn at the same time that two full engines have room for eight requests
   * again.
   */
  @Test
  void nodesThatLearnOfRoomTogetherDoNotOverfillTheEngines() {
    EngineDigest digest =
        new EngineDigest(MAX_REQUESTS - 4, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD);
    Map<String, EngineDigest> reports = Map.of("a-1", digest, "a-2", digest);
    int sent = 0;
    for (int node = 0; node < 100; node++) {
      Dispatcher dispatcher = singleNode(one, two);
      dispatcher.setNodeCount(OptionalInt.of(100), true);
      Requests.receive(
          dispatcher, new LoadDigest("n-2", 1, 1, reports, List.of(), Map.of()), START);
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
