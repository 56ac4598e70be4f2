package org.fallturn.node.metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whoever logs must not wait for a reader that does not read. */
class LogQueueTest {

  private static final int SIZE = 100;
  private static final int LINES = 1_000;

  private final LoggerContext context = new LoggerContext();
  private final CountDownLatch entered = new CountDownLatch(1);
  private final CountDownLatch reads = new CountDownLatch(1);
  private final List<String> written = new CopyOnWriteArrayList<>();
  private final LogQueue queue = new LogQueue(SIZE);
  private final Logger logger = context.getLogger("test");

  /** Output that nobody reads until it is allowed. */
  private final class SlowOutput extends AppenderBase<ILoggingEvent> {

    @Override
    protected void append(ILoggingEvent event) {
      entered.countDown();
      try {
        reads.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.add(event.getMessage());
    }
  }

  @BeforeEach
  void start() throws InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    SlowOutput output = new SlowOutput();
    output.setContext(context);
    output.start();
    queue.setContext(context);
    queue.addAppender(output);
    queue.start();
    logger.setLevel(Level.INFO);
    logger.addAppender(queue);
    logger.info("the line that nobody reads");
    entered.await();
  }

  @AfterEach
  void stop() {
    reads.countDown();
    context.stop();
  }

  private void logRequests() {
    for (int line = 0; line < LINES; line++) {
      logger.atInfo().addKeyValue("request", "r-" + line).log("about a request");
    }
  }

  @Test
  void linesAreDroppedAndCountedWhileNobodyReads() {
    logRequests();
    assertThat(queue.hasRoom()).isFalse();
    reads.countDown();
    await().until(queue::hasRoom);
    long dropped = queue.takeDropped();
    assertThat(dropped).isPositive().isLessThan(LINES);
    await().until(() -> written.size() + dropped == LINES + 1);
    assertThat(queue.takeDropped()).isZero();
  }

  /** A process that ends as planned writes its last lines, the one that says so among them. */
  @Test
  void linesThatWaitAreWrittenBeforeTheEnd() {
    logger.atInfo().addKeyValue("event", "STOPPED").log("the last line");
    reads.countDown();
    queue.stop();
    assertThat(written).containsExactly("the line that nobody reads", "the last line");
  }

  @Test
  void linesAboutTheNodeHaveRoomWhenThoseAboutRequestsHaveNone() {
    logRequests();
    long before = queue.takeDropped();
    assertThat(before).isPositive();
    logger.atInfo().addKeyValue("event", "STOPPING").log("about the node");
    assertThat(queue.takeDropped()).isZero();
    reads.countDown();
    await().until(() -> written.contains("about the node"));
  }
}
