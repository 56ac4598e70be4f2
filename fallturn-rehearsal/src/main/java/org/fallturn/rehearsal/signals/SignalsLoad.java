package org.fallturn.rehearsal.signals;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedClient.Answer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Call;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;

/** Callers that send requests of all kinds and come back with those that were refused. */
final class SignalsLoad {

  private static final int REQUEST_MILLIS = 12;
  private static final Duration DEADLINE = Duration.ofMillis(3_500);

  private static final int PERCENT = 100;
  private static final int COMES_BACK_PERCENT = 85;
  private static final int SAME_GATEWAY_PERCENT = 70;
  private static final int AT_ONCE_PERCENT = 60;
  private static final int MAX_TRIES = 5;

  /** With less time left, a caller does not come back. */
  private static final long MIN_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Callers wait no longer than this part of the time that they have left. */
  private static final int LONGEST_WAIT_DIVISOR = 3;

  private final SignalsFleet fleet;
  private final EmulatedClient client;
  private final long seed;
  private final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
  private final Queue<CompletableFuture<Void>> ends = new ConcurrentLinkedQueue<>();

  /**
   * One try of a request.
   *
   * @param answeredNanos when its answer, or the end of its connection, had come
   */
  record Sent(
      Work work, int gateway, int tryNumber, long sentNanos, Call call, AtomicLong answeredNanos) {

    /** What the caller saw; waits for its answer. */
    RequestTries.Try seen() {
      return new RequestTries.Try(
          call.requestId(),
          tryNumber,
          work.once,
          SignalsFleet.gatewayName(gateway),
          call.answer().join().status());
    }
  }

  /** A request whose caller may come back; the draws of its caller are its own. */
  private record Asked(Work work, String requestId, long untilNanos, Random choice) {

    private long leftNanos() {
      return untilNanos - System.nanoTime();
    }

    private boolean draw(int percent) {
      return choice.nextInt(PERCENT) < percent;
    }
  }

  /** What a request asks for. */
  private enum Work {
    APPLICATION(EmulatedPlatform.IDEMPOTENT, 0, false),
    APPLICATION_ONCE(EmulatedPlatform.NON_IDEMPOTENT, 0, true),
    STREAM(EmulatedPlatform.RESUMABLE, 200, false),
    STREAM_ONCE(EmulatedPlatform.STREAM, 200, true),
    BUSY(SignalsFleet.BUSY, 0, false),
    BUSY_ONCE(SignalsFleet.BUSY_ONCE, 0, true);

    private final String path;
    private final int promptTokens;
    private final boolean once;

    Work(String path, int promptTokens, boolean once) {
      this.path = path;
      this.promptTokens = promptTokens;
      this.once = once;
    }
  }

  SignalsLoad(SignalsFleet fleet, EmulatedClient client, long seed) {
    this.fleet = fleet;
    this.client = client;
    this.seed = seed;
  }

  /** Sends requests for some time. */
  void send(Duration length) {
    Random choice = new Random(seed);
    long until = System.nanoTime() + length.toNanos();
    try {
      while (System.nanoTime() - until < 0) {
        Work work = Work.values()[choice.nextInt(Work.values().length)];
        int gateway = choice.nextInt(fleet.gatewayCount());
        long giveUp = System.nanoTime() + DEADLINE.toNanos();
        Random own = new Random(choice.nextLong());
        ends.add(send(new Asked(work, client.newRequestId(), giveUp, own), gateway, 1));
        TimeUnit.MILLISECONDS.sleep(REQUEST_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** All tries, once the last one is answered. */
  List<Sent> awaitAll() {
    ends.forEach(CompletableFuture::join);
    return List.copyOf(sent);
  }

  private CompletableFuture<Void> send(Asked asked, int gateway, int tryNumber) {
    long sentNanos = System.nanoTime();
    Call call =
        client.sendTry(
            fleet.callers(gateway),
            asked.work().path,
            asked.work().promptTokens,
            Duration.ofNanos(asked.leftNanos()),
            asked.requestId(),
            tryNumber);
    AtomicLong answered = new AtomicLong();
    sent.add(new Sent(asked.work(), gateway, tryNumber, sentNanos, call, answered));
    return call.answer()
        .thenCompose(
            answer -> {
              answered.set(System.nanoTime());
              return comeBack(asked, gateway, tryNumber, answer);
            });
  }

  /** Sends a request again after a refusal, or ends it. */
  private CompletableFuture<Void> comeBack(Asked asked, int gateway, int tryNumber, Answer answer) {
    boolean mayComeBack =
        RequestTries.saysNotRun(answer.status())
            && tryNumber < MAX_TRIES
            && asked.leftNanos() > MIN_LEFT_NANOS;
    if (!mayComeBack || !asked.draw(COMES_BACK_PERCENT)) {
      return CompletableFuture.completedFuture(null);
    }
    int next =
        asked.draw(SAME_GATEWAY_PERCENT) ? gateway : asked.choice().nextInt(fleet.gatewayCount());
    long wait = asked.draw(AT_ONCE_PERCENT) ? 0 : waitNanos(answer, asked.leftNanos());
    Executor later = CompletableFuture.delayedExecutor(wait, TimeUnit.NANOSECONDS);
    return CompletableFuture.supplyAsync(() -> send(asked, next, tryNumber + 1), later)
        .thenCompose(Function.identity());
  }

  private static long waitNanos(Answer answer, long leftNanos) {
    String seconds = answer.headers().get("Retry-After");
    long told =
        seconds == null ? 0 : (long) (Double.parseDouble(seconds) * TimeUnit.SECONDS.toNanos(1));
    return Math.min(told, leftNanos / LONGEST_WAIT_DIVISOR);
  }
}
