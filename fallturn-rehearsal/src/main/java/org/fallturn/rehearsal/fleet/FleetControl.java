package org.fallturn.rehearsal.fleet;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.table.HttpTableService;
import org.fallturn.rehearsal.application.ApplicationControl;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.platform.PlatformFaults;

/**
 * Talks to the control paths of the stand-ins, past the fault-injecting proxy. Calls block.
 * Thread-safe.
 */
public final class FleetControl implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int THREADS = 8;
  private static final int READY = 200;
  private static final long CHECK_MILLIS = 100;

  private final JsonCodec codec = new JsonCodec();
  private final HttpClient jetty;
  private final JsonHttpClient client;
  private final NetworkAddress platform;

  FleetControl(NetworkAddress platform) throws Exception {
    this.platform = platform;
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setName("fleet-control");
    threads.setDaemon(true);
    jetty = new HttpClient();
    jetty.setExecutor(threads);
    jetty.start();
    client = new JsonHttpClient(jetty, codec);
  }

  /** The table service, past the proxy. */
  public HttpTableService table() {
    return new HttpTableService(client, platform, TIMEOUT);
  }

  /** The codec of all messages. */
  public JsonCodec codec() {
    return codec;
  }

  /** Replaces the platform's faults. */
  public void platformFaults(PlatformFaults faults) throws RemoteCallException {
    post(platform, "/control/faults", faults, PlatformFaults.class);
  }

  /** Replaces the machine list. */
  public void machines(MachineList machines) throws RemoteCallException {
    post(platform, "/control/machines", machines, MachineList.class);
  }

  /** Adds or replaces one machine. */
  public void machine(Machine machine) throws RemoteCallException {
    post(platform, "/control/machine", machine, Machine.class);
  }

  /** What an application did so far. */
  public ExecutionCounts counts(NetworkAddress application) throws RemoteCallException {
    return get(application, "/control/counts", ExecutionCounts.class);
  }

  /** Changes how an application behaves. */
  public void behave(NetworkAddress application, ApplicationControl behaviour)
      throws RemoteCallException {
    post(application, "/control/behaviour", behaviour, ApplicationControl.class);
  }

  /** Waits until a node says that it is ready. */
  public void awaitAnswering(NetworkAddress operators, long seconds)
      throws RemoteCallException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!isReady(operators)) {
      if (System.nanoTime() - deadline > 0) {
        throw new RemoteCallException(
            operators + " does not become ready", RemoteCallException.NO_STATUS, "", null);
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  private boolean isReady(NetworkAddress operators) throws InterruptedException {
    try {
      return jetty.GET("http://" + operators + "/readyz").getStatus() == READY;
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }

  /** Waits until no request runs or waits on an engine. */
  public void awaitIdleEngine(NetworkAddress engine, long seconds)
      throws RemoteCallException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (isBusy(get(engine, "/control/journal", EngineJournal.class))) {
      if (System.nanoTime() - deadline > 0) {
        throw new RemoteCallException(
            engine + " does not become idle", RemoteCallException.NO_STATUS, "", null);
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  private static boolean isBusy(EngineJournal journal) {
    return journal.requests().stream()
        .anyMatch(request -> request.end() == EngineJournal.End.RUNNING);
  }

  /** Posts a message to any process. */
  public <A> A post(NetworkAddress address, String path, Object body, Class<A> type)
      throws RemoteCallException {
    return JsonHttpClient.await(client.post(address, path, body, type, TIMEOUT));
  }

  /** Gets a document of any process. */
  public <A> A get(NetworkAddress address, String path, Class<A> type) throws RemoteCallException {
    return JsonHttpClient.await(client.get(address, path, type, TIMEOUT));
  }

  @Override
  public void close() throws Exception {
    jetty.stop();
  }
}
