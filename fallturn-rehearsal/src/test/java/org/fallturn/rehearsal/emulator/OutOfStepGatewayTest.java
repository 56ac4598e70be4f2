package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.HistoryLostException;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.gateway.GatewayPlatform;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.faults.LinkFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that goes on at an old version at a gateway that is out of step: engines
 * of a new version join while neither the store nor other gateways reach it, a stream begins there
 * through another gateway, and its caller comes back to the one that knows the old version alone.
 */
class OutOfStepGatewayTest {

  private static final Duration LONGEST = Duration.ofSeconds(60);
  private static final int PROMPT_TOKENS = 300;
  private static final int STREAMS = 24;
  private static final String OLD = EmulatedEngine.FIRST_VERSION;
  private static final String NEW = "v2";

  private final EmulatedPlatform platform;
  private final EmulatedClient client;
  private final PeerLink currentLink;
  private final PeerLink outOfStepLink;
  private final StoreHold storeHold = new StoreHold();
  private GatewayServer current;
  private GatewayServer outOfStep;

  OutOfStepGatewayTest() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
    int port = PeerLink.freePort();
    currentLink = new PeerLink(0, port);
    outOfStepLink = new PeerLink(1, port);
  }

  /** Holds back what the store tells a gateway of the engines. */
  private static final class StoreHold {

    private boolean held;

    synchronized void set(boolean hold) {
      held = hold;
      notifyAll();
    }

    private synchronized void await() throws StoreException {
      try {
        while (held) {
          wait();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new StoreException("interrupted", false, e);
      }
    }

    GatewayPlatform putBefore(GatewayPlatform adapters) {
      return new GatewayPlatform(
          adapters.callers(),
          adapters.engines(),
          adapters.routingFeed(),
          adapters.isRouting(),
          adapters.routingDecoder(),
          http -> behindHold(adapters.engineFeed().create(http)),
          adapters.engineDecoder(),
          adapters.orderLease(),
          adapters.quarantine(),
          adapters.usage(),
          adapters.usageApi(),
          adapters.initialCounts(),
          adapters.scaleApi(),
          adapters.readinessPath());
    }

    private RowFeed behindHold(RowFeed feed) {
      return new RowFeed() {
        @Override
        public FeedAnswer snapshot() throws StoreException {
          FeedAnswer answer = feed.snapshot();
          await();
          return answer;
        }

        @Override
        public FeedAnswer changesAfter(
            StorePosition after, Duration wait, BooleanSupplier stillWanted)
            throws StoreException, HistoryLostException {
          FeedAnswer answer = feed.changesAfter(after, wait, stillWanted);
          await();
          return answer;
        }
      };
    }
  }

  @BeforeEach
  void start() throws Exception {
    platform.addDecoder("d-1", OLD);
    platform.addDecoder("d-2", OLD);
    current = platform.addGateway(currentLink);
    outOfStep = platform.addGateway(outOfStepLink, storeHold::putBefore, currentLink.advertised());
    await().atMost(LONGEST).until(() -> current.nodeCount() == 2 && outOfStep.nodeCount() == 2);
    await().atMost(LONGEST).until(() -> resume(outOfStep, "never-sent").status() == 200);
  }

  @AfterEach
  void stop() throws Exception {
    storeHold.set(false);
    client.close();
    platform.close();
    currentLink.close();
    outOfStepLink.close();
  }

  private EmulatedClient.Answer resume(GatewayServer gateway, String firstAttempt)
      throws Exception {
    return client.resume(gateway.callersAddress(), PROMPT_TOKENS, firstAttempt, 2).await();
  }

  /** Streams that begin at once, so that all engines get some. */
  private List<EmulatedClient.Answer> begin(GatewayServer gateway) throws Exception {
    List<EmulatedClient.Call> calls = new ArrayList<>();
    for (int number = 0; number < STREAMS; number++) {
      calls.add(
          client.send(
              gateway.callersAddress(),
              EmulatedPlatform.RESUMABLE,
              PROMPT_TOKENS,
              EmulatedClient.LONGEST));
    }
    List<EmulatedClient.Answer> answers = new ArrayList<>();
    for (EmulatedClient.Call call : calls) {
      answers.add(call.await());
    }
    return answers;
  }

  @Test
  void streamOfAVersionThatAGatewayHasNotSeenDoesNotGoOnThereAtTheOldOne() throws Exception {
    storeHold.set(true);
    outOfStepLink.setAll(LinkFaults.SILENT);
    platform.addDecoder("d-3", NEW);
    platform.addDecoder("d-4", NEW);
    await().atMost(LONGEST).until(() -> current.engineCount() == 4);
    List<EmulatedClient.Answer> begun = begin(current);
    begun.removeIf(answer -> !answer.body().contains(NEW));
    assertThat(begun).isNotEmpty();
    for (EmulatedClient.Answer stream : begun) {
      assertThat(resume(outOfStep, stream.requestId()).body()).isEmpty();
    }
    storeHold.set(false);
    outOfStepLink.setAll(LinkFaults.NONE);
    await().atMost(LONGEST).until(() -> outOfStep.engineCount() == 4);
    for (EmulatedClient.Answer stream : begun) {
      assertThat(resume(outOfStep, stream.requestId()).body()).isIn("", StreamEvents.after(2, NEW));
    }
  }
}
