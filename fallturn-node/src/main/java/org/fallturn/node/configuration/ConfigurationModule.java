package org.fallturn.node.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.port.objectstore.ObjectStore;
import org.fallturn.core.port.table.TableService;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;

/**
 * The accepted configuration on this node: the image in force, changes to it, and its distribution.
 * Two duty threads: one owns the traffic with the platform's stores, the other applies and passes
 * on, so that a slow store holds up no change that peers already have. The version in force only
 * rises.
 */
public final class ConfigurationModule implements Supplier<ConfigurationImage>, AutoCloseable {

  private static final int RING_SIZE = 256;
  private static final int MAX_MESSAGE_BYTES = 1024 * 1024;
  private static final Duration TICK = Duration.ofMillis(50);

  private final AppliedConfiguration applied = new AppliedConfiguration();
  private final DutyThread<DistributionEvent> distribution;
  private final DutyThread<ConfigurationStoreDuty.StoreEvent> store;
  private final InForceCheck inForceCheck;

  /** A module that is not started yet. */
  public ConfigurationModule(
      ConfigurationOptions options,
      ZoneNodes nodes,
      TableService table,
      ObjectStore objects,
      JsonHttpClient client,
      JsonCodec codec) {
    DistributionDuty distributionDuty =
        new DistributionDuty(applied, nodes, options, client, codec, this::offer);
    distribution = new DutyThread<>("configuration", RING_SIZE, TICK, distributionDuty);
    ConfigurationStoreDuty storeDuty =
        new ConfigurationStoreDuty(
            new ConfigurationTable(table, codec),
            new ConfigurationSnapshots(objects, codec),
            applied,
            options,
            nodes::isWatcher,
            new HandOver());
    store = new DutyThread<>("configuration-store", RING_SIZE, TICK, storeDuty);
    inForceCheck = new InForceCheck(applied, nodes, client, options.callTimeout());
  }

  /** Adds the routes for peers; before the peer port starts. */
  public void addRoutes(HttpRouter router) {
    router.message(
        PeerMessages.PUSH_PATH, PeerMessages.Push.class, MAX_MESSAGE_BYTES, this::onPush);
    router.message(
        PeerMessages.FETCH_PATH, PeerMessages.Fetch.class, MAX_MESSAGE_BYTES, this::onFetch);
    router.message(
        PeerMessages.STATUS_PATH,
        PeerMessages.StatusRequest.class,
        MAX_MESSAGE_BYTES,
        request -> inForceCheck.countZone(request.version()));
    router.document(PeerMessages.VERSION_PATH, request -> completed(currentVersion()));
  }

  /** Starts the duty threads. */
  public ConfigurationModule start() {
    distribution.start();
    store.start();
    return this;
  }

  /** The image in force; any thread may ask. */
  @Override
  public ConfigurationImage get() {
    return applied.image();
  }

  /** The version in force, for gossip. */
  public long version() {
    return applied.image().version();
  }

  /**
   * Whether the node has learned the accepted configuration since it started. Before that, an
   * unknown key or service means nothing, and callers must be told to come back.
   */
  public boolean isLoaded() {
    return applied.isLoaded();
  }

  /** Adds a listener, called on the distribution duty's thread after each change. */
  public void addListener(Consumer<ConfigurationImage> listener) {
    applied.addListener(listener);
  }

  /**
   * Proposes a change. The stage completes once the change is committed and in force on this node;
   * it fails with a {@link org.fallturn.core.error.FallturnException} when the change is refused.
   */
  public CompletionStage<CommitResult> propose(ProposedChange change) {
    CompletableFuture<CommitResult> answer = new CompletableFuture<>();
    ConfigurationStoreDuty.Proposal proposal = new ConfigurationStoreDuty.Proposal(change, answer);
    if (!store.offer(proposal)) {
      answer.completeExceptionally(ConfigurationStoreDuty.Proposal.tooMany());
    }
    return answer;
  }

  /**
   * The newest accepted changes in order, from the table; from what this node has kept when the
   * table does not answer.
   */
  public CompletionStage<List<ConfigurationDelta>> history(int changes) {
    CompletableFuture<List<ConfigurationDelta>> answer = new CompletableFuture<>();
    if (!store.offer(new ConfigurationStoreDuty.HistoryRequest(changes, answer))) {
      return completed(keptHistory());
    }
    return answer.exceptionally(failure -> keptHistory());
  }

  /** The newest accepted changes that this node has kept, in order. */
  public List<ConfigurationDelta> keptHistory() {
    return applied.kept();
  }

  /** On how many nodes of the fleet a version is in force now. */
  public CompletionStage<InForceReport> inForce(long version) {
    return inForceCheck.countFleet(version);
  }

  @Override
  public void close() {
    store.close();
    distribution.close();
  }

  private void offer(DistributionEvent event) {
    distribution.offer(event);
  }

  private CompletionStage<PeerMessages.Version> onPush(PeerMessages.Push push) {
    offer(new DistributionEvent.Pushed(push));
    return completed(currentVersion());
  }

  private CompletionStage<PeerMessages.Fetched> onFetch(PeerMessages.Fetch fetch) {
    boolean loaded = applied.isLoaded();
    ConfigurationImage image = applied.image();
    if (image.version() <= fetch.afterVersion()) {
      return completed(new PeerMessages.Fetched(loaded, Optional.empty(), List.of()));
    }
    List<ConfigurationDelta> deltas = applied.keptAfter(fetch.afterVersion());
    Optional<ConfigurationImage> whole = deltas.isEmpty() ? Optional.of(image) : Optional.empty();
    return completed(new PeerMessages.Fetched(loaded, whole, deltas));
  }

  private PeerMessages.Version currentVersion() {
    return new PeerMessages.Version(applied.image().version());
  }

  private static <T> CompletionStage<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /** Carries what the store duty learned to the distribution duty. */
  private final class HandOver implements ConfigurationStoreDuty.AcceptedChanges {

    @Override
    public void onRead(ConfigurationImage base, List<ConfigurationDelta> tail) {
      offer(new DistributionEvent.Learned(base, tail, false, () -> {}));
    }

    @Override
    public void onNothingAccepted() {
      offer(new DistributionEvent.Learned(ConfigurationImage.EMPTY, List.of(), false, () -> {}));
    }

    @Override
    public void onCommitted(
        ConfigurationImage base, ConfigurationDelta delta, Runnable whenApplied) {
      boolean taken =
          distribution.offer(
              new DistributionEvent.Learned(base, List.of(delta), true, whenApplied));
      if (!taken) {
        whenApplied.run();
      }
    }
  }
}
