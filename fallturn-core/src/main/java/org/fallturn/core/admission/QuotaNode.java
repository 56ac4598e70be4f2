package org.fallturn.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.admission.QuotaMessages.Holdings;
import org.fallturn.core.admission.QuotaMessages.HoldingsRequest;
import org.fallturn.core.admission.QuotaMessages.ShareGrant;
import org.fallturn.core.admission.QuotaMessages.ShareGrants;
import org.fallturn.core.admission.QuotaMessages.ShareRequest;
import org.fallturn.core.admission.QuotaMessages.ShareRequests;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.TenantName;

/**
 * One node's part in the fleet-wide limits, as holder of shares and as owner of quotas. Events in,
 * actions out. Not thread-safe.
 *
 * <p>The owner of a tenant's quota is the eligible node with the highest rendezvous weight. A node
 * that was asked for its holdings by a new owner turns to that one and takes no more shares from
 * another, so that whatever the former owner grants late has no effect.
 */
public final class QuotaNode {

  private static final int ASKS_PER_INTERVAL = 20;

  private final NodeId self;
  private final QuotaParameters parameters;
  private final QuotaHolder holder;
  private final QuotaOwner owner;
  private final long startedNanos;
  private final TenantOwners owners = new TenantOwners();
  private final Map<String, Claim> claims = new HashMap<>();
  private final Map<NodeId, Long> askedNanos = new HashMap<>();
  private final Map<NodeId, Long> lastAskNanos = new HashMap<>();
  private ConfigurationImage image = ConfigurationImage.EMPTY;
  private QuotaSurroundings surroundings = new QuotaSurroundings(Set.of(), Set.of(), Set.of());
  private long lastHoldingsNanos;
  private long lastExpiredNanos;
  private long number;

  /** A new owner that asked this node for its holdings. */
  private record Claim(NodeId owner, long untilNanos) {}

  /** A node that has just started. */
  public QuotaNode(NodeId self, QuotaParameters parameters, long nowNanos) {
    this.self = self;
    this.parameters = parameters;
    this.holder = new QuotaHolder(parameters);
    this.owner = new QuotaOwner(self, parameters);
    this.startedNanos = nowNanos;
    this.lastExpiredNanos = nowNanos;
    this.lastHoldingsNanos = nowNanos - parameters.shareInterval().toNanos();
  }

  /** The configuration in force. */
  public void setImage(ConfigurationImage next) {
    image = next;
  }

  /** The nodes as this one sees them now. */
  public void setSurroundings(QuotaSurroundings next) {
    surroundings = next;
  }

  /**
   * Admits a request on all its limits, or says why not.
   *
   * @param firstTry whether the request comes for the first time, and so counts as demand
   */
  public Optional<QuotaHolder.Refusal> admit(
      List<QuotaKey> keys, double tokens, boolean firstTry, long nowNanos) {
    return holder.admit(keys, tokens, limits(nowNanos), firstTry, nowNanos);
  }

  /** An admitted request has its placement. */
  public void placed(List<QuotaKey> keys) {
    holder.placed(keys);
  }

  /** An admitted request has ended. */
  public void finished(List<QuotaKey> keys, double unusedTokens) {
    holder.finished(keys, unusedTokens);
  }

  /** What this node may use of a limit now. */
  public QuotaAmounts usable(QuotaKey key, long nowNanos) {
    return holder.usable(key, nowNanos);
  }

  /** What is given out of the limits of the tenants this node owns. */
  public List<QuotaUsage> usage() {
    return owner.usage();
  }

  /** The node that owns a tenant's quota, as this one sees it. */
  public NodeId owner(TenantName tenant) {
    return ownerOf(tenant.value());
  }

  /** Renews what is due; called every share interval. */
  public List<QuotaAction> onInterval(long nowNanos) {
    claims.values().removeIf(claim -> claim.untilNanos() - nowNanos <= 0);
    refreshOwners(nowNanos);
    lastAskNanos.keySet().retainAll(surroundings.seen());
    owner.forgetGone(present());
    ownTenants(nowNanos);
    List<QuotaAction> actions = new ArrayList<>(askHoldings(nowNanos));
    actions.addAll(askShares(holder.due(nowNanos), nowNanos));
    holder.forgetIdle(nowNanos);
    return actions;
  }

  /** Asks at once for limits that have just refused a request. */
  public List<QuotaAction> askNow(List<QuotaKey> keys, long nowNanos) {
    refreshOwners(nowNanos);
    List<QuotaAction> actions = new ArrayList<>(askHoldings(nowNanos));
    Set<QuotaKey> notJustAsked = new HashSet<>();
    long pause = parameters.shareInterval().toNanos() / ASKS_PER_INTERVAL;
    for (QuotaKey key : keys) {
      Long last = lastAskNanos.get(ownerOf(key.tenant()));
      if (last == null || nowNanos - last >= pause) {
        notJustAsked.add(key);
      }
    }
    actions.addAll(askShares(notJustAsked, nowNanos));
    return actions;
  }

  /** Another node, or this one, asks for shares. */
  public ShareGrants onShareRequests(ShareRequests message, long nowNanos) {
    refreshOwners(nowNanos);
    return owner.grant(message, key -> key.limit(image), nowNanos);
  }

  /** A new owner asks what this node holds. */
  public Holdings onHoldingsRequest(HoldingsRequest message, long nowNanos) {
    askedNanos.clear();
    if (!message.owner().equals(self)) {
      owner.onTakenOver(message.tenants());
      long until = nowNanos + parameters.shareDuration().toNanos();
      message.tenants().forEach(tenant -> claims.put(tenant, new Claim(message.owner(), until)));
    }
    return new Holdings(holder.holdings(message.tenants(), nowNanos));
  }

  /** An owner has answered a wish. */
  public void onGrants(QuotaAction.AskShares asked, ShareGrants answer, long nowNanos) {
    if (!askedNanos.remove(asked.to(), asked.sentNanos())) {
      return;
    }
    forgetRefutedClaims(asked, answer);
    List<ShareGrant> valid =
        answer.grants().stream()
            .filter(grant -> asked.to().equals(ownerOf(grant.key().tenant())))
            .toList();
    holder.onGrants(new ShareGrants(answer.validMillis(), valid), asked.sentNanos(), nowNanos);
  }

  /** A node that grants nothing does not own the tenant, whatever it claimed before. */
  private void forgetRefutedClaims(QuotaAction.AskShares asked, ShareGrants answer) {
    Set<QuotaKey> granted = new HashSet<>();
    answer.grants().forEach(grant -> granted.add(grant.key()));
    for (ShareRequest wish : asked.message().shares()) {
      Claim claim = claims.get(wish.key().tenant());
      if (!granted.contains(wish.key()) && claim != null && claim.owner().equals(asked.to())) {
        claims.remove(wish.key().tenant());
      }
    }
  }

  /** An owner has not answered in time; a late answer is ignored. */
  public void onNoGrants(QuotaAction.AskShares asked) {
    askedNanos.remove(asked.to(), asked.sentNanos());
  }

  /** A node has answered what it holds. */
  public void onHoldings(QuotaAction.AskHoldings asked, Holdings answer, long nowNanos) {
    owner.onHoldings(asked.to(), asked.message().tenants(), answer.holdings(), nowNanos);
  }

  private QuotaHolder.Limits limits(long nowNanos) {
    boolean settled = nowNanos - startedNanos >= 2 * parameters.shareInterval().toNanos();
    int nodes = settled ? surroundings.nodeCount() : 0;
    return new QuotaHolder.Limits(key -> key.limit(image), nodes);
  }

  private NodeId ownerOf(String tenant) {
    Claim claim = claims.get(tenant);
    if (claim != null && surroundings.seen().contains(claim.owner())) {
      return claim.owner();
    }
    return owners.owners().getOrDefault(tenant, self);
  }

  private void refreshOwners(long nowNanos) {
    if (owners.update(image.tenants().keySet(), surroundings.eligible())) {
      ownTenants(nowNanos);
      lastHoldingsNanos = nowNanos - parameters.shareInterval().toNanos();
    }
  }

  private void ownTenants(long nowNanos) {
    Set<String> own = new HashSet<>();
    if (surroundings.hasMajority()) {
      owners
          .owners()
          .forEach(
              (tenant, node) -> {
                if (node.equals(self) && ownerOf(tenant).equals(self)) {
                  own.add(tenant);
                }
              });
    }
    owner.setTenants(own, present(), nowNanos);
  }

  private Set<NodeId> present() {
    Set<NodeId> present = new HashSet<>(surroundings.seen());
    present.addAll(surroundings.listed());
    return present;
  }

  private List<QuotaAction> askHoldings(long nowNanos) {
    if (nowNanos - lastHoldingsNanos < parameters.shareInterval().toNanos()) {
      return List.of();
    }
    lastHoldingsNanos = nowNanos;
    List<QuotaAction> actions = new ArrayList<>();
    boolean withExpired = nowNanos - lastExpiredNanos >= parameters.shareDuration().toNanos() / 2;
    lastExpiredNanos = withExpired ? nowNanos : lastExpiredNanos;
    owner
        .unanswered(withExpired, nowNanos)
        .forEach(
            (node, question) -> {
              if (surroundings.seen().contains(node)) {
                actions.add(new QuotaAction.AskHoldings(node, question));
              }
            });
    return actions;
  }

  private List<QuotaAction> askShares(Set<QuotaKey> keys, long nowNanos) {
    Map<NodeId, List<ShareRequest>> requests = new HashMap<>();
    for (QuotaKey key : keys) {
      NodeId to = ownerOf(key.tenant());
      if (!askedNanos.containsKey(to)) {
        requests
            .computeIfAbsent(to, node -> new ArrayList<>())
            .add(holder.request(key, limits(nowNanos), nowNanos));
      }
    }
    List<QuotaAction> actions = new ArrayList<>();
    requests.forEach(
        (to, list) -> {
          number++;
          askedNanos.put(to, nowNanos);
          lastAskNanos.put(to, nowNanos);
          ShareRequests message = new ShareRequests(self, number, list);
          actions.add(new QuotaAction.AskShares(to, message, nowNanos));
        });
    return actions;
  }

  /** The tenant part of every key this node knows; for live queries. */
  public Set<TenantName> ownedTenants() {
    Set<TenantName> names = new HashSet<>();
    owner.tenants().forEach(tenant -> names.add(new TenantName(tenant)));
    return names;
  }
}
