package org.fallturn.node.operators;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.configuration.InMemoryTable;
import org.fallturn.node.configuration.TestNode;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.TlsCertificate;

/** A node with its configuration and an operators' port. */
public final class OperatorsTestNode implements AutoCloseable {

  /** The key that counts until an operator is configured. */
  public static final String BOOTSTRAP_KEY = "bootstrap-key";

  private static final int MAX_STATEMENT_BYTES = 256 * 1024;

  private static final MachineList MACHINES =
      new MachineList(
          1,
          List.of(
              new Machine(
                  "lakua-engine-1",
                  Machine.Kind.ENGINE,
                  new RegionName("alava"),
                  new ZoneName("lakua"),
                  NetworkAddress.parse("127.0.0.1:1"),
                  Optional.empty(),
                  Optional.of(new ModelName("suggest-7b")),
                  Optional.empty(),
                  Machine.State.LIVE)));

  private final TestNode node;
  private final TableRegistry tables;
  private final OperatorsModule module;
  private final HttpListener listener;
  private final NetworkAddress address;

  /** Joins a fleet. */
  public OperatorsTestNode(
      String name, String zone, Map<NodeId, TestNode> fleet, InMemoryTable store) throws Exception {
    this(name, zone, fleet, store, Optional.empty());
  }

  /** Joins a fleet, with an encrypted operators' port when there is a certificate. */
  public OperatorsTestNode(
      String name,
      String zone,
      Map<NodeId, TestNode> fleet,
      InMemoryTable store,
      Optional<TlsCertificate> certificate)
      throws Exception {
    node = new TestNode(name, zone, fleet, store);
    tables = new TableRegistry(node.module());
    new FleetTables(node.nodes().self(), node::view, () -> MACHINES, node.module())
        .register(tables);
    tables.register(new ChangesTable(node.module()));
    module =
        new OperatorsModule(
            node.module(),
            new OperatorsModule.Door(KeyHashes.hash(BOOTSTRAP_KEY), MAX_STATEMENT_BYTES),
            tables,
            node.nodes(),
            List::<PoolDigest>of,
            () -> MACHINES,
            node.client(),
            node.codec());
    HttpRouter operators = new HttpRouter(node.codec());
    module.addRoutes(operators, node.peerRouter());
    listener =
        new HttpListener(
            "operators", new NetworkAddress("127.0.0.1", 0), 8, certificate, operators);
    address = listener.address();
    node.module().start();
  }

  /** The operators' port. */
  public NetworkAddress address() {
    return address;
  }

  /** The node behind it. */
  public TestNode node() {
    return node;
  }

  /** Its tables. */
  public TableRegistry tables() {
    return tables;
  }

  @Override
  public void close() throws Exception {
    listener.close();
    module.close();
    node.close();
  }
}
