package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that takes five seconds longer to stop for each client: a client that
 * owns the shared thread pool stops it, and the pool waits for the threads of the others.
 */
class PlainHttpClientsTest {

  @Test
  void clientForControlLeavesTheSharedThreadPoolRunning() throws Exception {
    QueuedThreadPool shared = new QueuedThreadPool();
    shared.start();
    HttpClient client = PlainHttpClients.startForControl(shared);
    client.stop();
    assertThat(shared.isRunning()).isTrue();
    shared.stop();
  }
}
