package org.fallturn.rehearsal.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.MessageHandler;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.scale.HollowMessages.Ask;
import org.fallturn.rehearsal.scale.HollowMessages.Done;
import org.fallturn.rehearsal.scale.HollowMessages.Leaderships;
import org.fallturn.rehearsal.scale.HollowMessages.NodeSample;
import org.fallturn.rehearsal.scale.HollowMessages.Samples;
import org.fallturn.rehearsal.scale.HollowMessages.Sight;

/**
 * The hollow nodes of one process behind a control port. Killing the process is what kills the
 * rack. Handlers run on server threads; the nodes are kept in a concurrent map.
 */
final class HollowRack implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_THREADS = 8;

  private final Map<String, HollowNode> nodes = new ConcurrentHashMap<>();
  private final VersionWatch versions = new VersionWatch(nodes);
  private final PlacementLoad load = new PlacementLoad(nodes);
  private final HttpListener listener;
  private volatile Set<NetworkAddress> blocked = Set.of();

  HollowRack() throws Exception {
    HttpRouter router = new HttpRouter(new JsonCodec());
    add(router, "/start", HollowMessages.Start.class, this::start);
    add(router, "/stop", HollowMessages.Stop.class, this::stop);
    add(router, "/block", HollowMessages.Block.class, this::block);
    add(router, "/names", Ask.class, ask -> new HollowMessages.Names(List.copyOf(nodes.keySet())));
    add(router, "/sight", Ask.class, this::sight);
    add(router, "/leaderships", Ask.class, ask -> leaderships());
    add(router, "/samples", Ask.class, ask -> samples());
    add(router, "/commit", HollowMessages.Commit.class, this::commit);
    add(router, "/in-force", Ask.class, ask -> versions.inForce());
    add(router, "/load", HollowMessages.Load.class, load::set);
    add(router, "/load-result", Ask.class, ask -> load.takeResult());
    listener = new HttpListener("rack", NetworkAddress.parse("127.0.0.1:0"), MAX_THREADS, router);
    versions.start();
  }

  NetworkAddress address() {
    return listener.address();
  }

  @Override
  public void close() throws Exception {
    versions.close();
    listener.close();
  }

  /** A handler that may block; each runs on a thread of its own. */
  private interface Handler<Q, A> {
    A handle(Q question) throws Exception;
  }

  private static <Q, A> void add(
      HttpRouter router, String path, Class<Q> type, Handler<Q, A> handler) {
    MessageHandler<Q, A> asynchronous = question -> onOwnThread(() -> handler.handle(question));
    router.message(path, type, MAX_BODY_BYTES, asynchronous);
  }

  private static <A> CompletableFuture<A> onOwnThread(Callable<A> task) {
    CompletableFuture<A> answer = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                answer.complete(task.call());
              } catch (Exception e) {
                answer.completeExceptionally(e);
              }
            },
            "rack-command");
    thread.setDaemon(true);
    thread.start();
    return answer;
  }

  private HollowMessages.Started start(HollowMessages.Start start) throws Exception {
    List<Machine> machines = new ArrayList<>();
    for (String name : start.nodes()) {
      HollowNode node = HollowNode.start(name, start, () -> blocked);
      nodes.put(name, node);
      machines.add(node.machine());
    }
    return new HollowMessages.Started(machines);
  }

  private Done stop(HollowMessages.Stop stop) throws InterruptedException {
    for (String name : stop.nodes()) {
      HollowNode node = nodes.remove(name);
      if (node != null) {
        versions.forget(name);
        node.stop();
      }
    }
    return new Done(true);
  }

  private Done block(HollowMessages.Block block) {
    blocked = Set.copyOf(block.addresses());
    return new Done(true);
  }

  private Sight sight(Ask ask) {
    int alive = 0;
    int listed = 0;
    for (HollowNode node : nodes.values()) {
      MembershipView view = node.parts().gossip().view();
      for (String subject : ask.nodes()) {
        var member = view.member(new NodeId(subject));
        listed += member.isPresent() ? 1 : 0;
        alive += member.filter(m -> m.state() == Member.State.ALIVE).isPresent() ? 1 : 0;
      }
    }
    return new Sight(nodes.size(), alive, listed);
  }

  private Leaderships leaderships() {
    Map<String, List<String>> pools = new HashMap<>();
    for (HollowNode node : nodes.values()) {
      List<String> led = node.poolsLed();
      if (!led.isEmpty()) {
        pools.put(node.name(), led);
      }
    }
    return new Leaderships(pools);
  }

  private Samples samples() {
    List<NodeSample> samples = nodes.values().stream().map(HollowNode::sample).toList();
    System.gc();
    long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new Samples(samples, heap, system.getProcessCpuTime());
  }

  private HollowMessages.Committed commit(HollowMessages.Commit commit) throws Exception {
    return ChangeSeries.run(nodes.get(commit.node()), commit);
  }
}
