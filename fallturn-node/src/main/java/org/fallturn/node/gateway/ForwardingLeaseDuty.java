package org.fallturn.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardingLeases;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * Keeps the leases under which this node sends requests for others: asks their nodes which they
 * still wait for, and ends those that are not confirmed. A thread of its own, which sleeps while
 * there is no lease. Thread-safe.
 */
final class ForwardingLeaseDuty implements AutoCloseable {

  private static final long ASK_TIMEOUT_MILLIS = 500;
  private static final int MAX_ANSWER_BYTES = 64 * 1024;

  private final HttpClient client;
  private final DutyLoop loop = new DutyLoop("forwarding-leases", this::work);
  private final Object lock = new Object();
  private final ForwardingLeases leases = new ForwardingLeases();
  private final Map<String, Runnable> ends = new HashMap<>();

  ForwardingLeaseDuty(HttpClient client) {
    this.client = client;
  }

  void start(FaultListener faults) {
    loop.start(faults);
  }

  /**
   * A request of another node came.
   *
   * @param owner where that node is asked about it
   * @param end called at most once, when it has to end
   */
  void begin(String key, NetworkAddress owner, Runnable end) {
    synchronized (lock) {
      leases.begin(key, owner, System.nanoTime());
      ends.put(key, end);
      lock.notifyAll();
    }
  }

  /** A request ended. */
  void end(String key) {
    synchronized (lock) {
      leases.end(key);
      ends.remove(key);
    }
  }

  private void work() throws InterruptedException {
    while (true) {
      awaitLease();
      check();
      TimeUnit.MILLISECONDS.sleep(ForwardingLeases.CHECK.toMillis());
    }
  }

  private void awaitLease() throws InterruptedException {
    synchronized (lock) {
      while (leases.isEmpty()) {
        lock.wait();
      }
    }
  }

  private void check() {
    List<String> lapsed;
    List<ForwardingLeases.Question> questions;
    synchronized (lock) {
      long now = System.nanoTime();
      lapsed = leases.takeLapsed(now);
      questions = leases.takeQuestions(now);
    }
    lapsed.forEach(this::giveUp);
    questions.forEach(this::ask);
  }

  private void giveUp(String key) {
    Runnable end;
    synchronized (lock) {
      end = ends.remove(key);
    }
    if (end != null) {
      end.run();
    }
  }

  private void ask(ForwardingLeases.Question question) {
    NetworkAddress owner = question.owner();
    client
        .newRequest(owner.host(), owner.port())
        .method(HttpMethod.POST)
        .path(ForwardedRequestsPage.PATH)
        .body(new StringRequestContent(ForwardedRequestsPage.text(question.keys())))
        .timeout(ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(new Answer(question));
  }

  private void onAnswer(ForwardingLeases.Question question, List<String> confirmed) {
    List<String> givenUp;
    synchronized (lock) {
      givenUp = leases.onAnswer(question, confirmed);
    }
    givenUp.forEach(this::giveUp);
  }

  /** What a node answers; a node of an earlier build never sends a request under a lease. */
  private final class Answer extends BufferingResponseListener {

    private final ForwardingLeases.Question question;

    Answer(ForwardingLeases.Question question) {
      super(MAX_ANSWER_BYTES);
      this.question = question;
    }

    @Override
    public void onComplete(Result result) {
      if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
        onAnswer(question, ForwardedRequestsPage.keys(getContentAsString()));
      }
    }
  }

  @Override
  public void close() {
    loop.close();
  }
}
