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

/**
 * Guards against logging threads that wait for an output whose reader has stalled, and against the
 * loss of lines about the node itself when lines about requests fill the queue.
 */
class LogQueueTest {

  private static final int SIZE = 100;
  private static final int LINES = 1_000;

  private final LoggerContext context = new LoggerContext();
  private final CountDownLatch entered = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final List<String> written = new CopyOnWriteArrayList<>();
  private final LogQueue queue = new LogQueue(SIZE);
  private final Logger logger = context.getLogger("test");

  /** Output that blocks, as if its reader had stalled, until the test releases it. */
  private final class BlockedOutput extends AppenderBase<ILoggingEvent> {

    @Override
    protected void append(ILoggingEvent event) {
      entered.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.add(event.getMessage());
    }
  }

  @BeforeEach
  void start() throws InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    BlockedOutput output = new BlockedOutput();
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
    released.countDown();
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
    released.countDown();
    await().until(queue::hasRoom);
    long dropped = queue.takeDropped();
    assertThat(dropped).isPositive().isLessThan(LINES);
    await().until(() -> written.size() + dropped == LINES + 1);
    assertThat(queue.takeDropped()).isZero();
  }

  /** A planned stop must write the lines left in the queue, including the one about the stop. */
  @Test
  void queuedLinesAreWrittenBeforeTheEnd() {
    logger.atInfo().addKeyValue("event", "STOPPED").log("the last line");
    released.countDown();
    queue.stop();
    assertThat(written).containsExactly("the line that nobody reads", "the last line");
  }

  @Test
  void linesAboutTheNodeHaveRoomWhenLinesAboutRequestsAreDropped() {
    logRequests();
    long before = queue.takeDropped();
    assertThat(before).isPositive();
    logger.atInfo().addKeyValue("event", "STOPPING").log("about the node");
    assertThat(queue.takeDropped()).isZero();
    released.countDown();
    await().until(() -> written.contains("about the node"));
  }
}
