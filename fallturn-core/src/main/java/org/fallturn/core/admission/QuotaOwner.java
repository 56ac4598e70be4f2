package org.fallturn.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.fallturn.core.admission.QuotaMessages.HoldingsRequest;
import org.fallturn.core.admission.QuotaMessages.ShareGrant;
import org.fallturn.core.admission.QuotaMessages.ShareGrants;
import org.fallturn.core.admission.QuotaMessages.ShareRequest;
import org.fallturn.core.admission.QuotaMessages.ShareRequests;
import org.fallturn.core.domain.NodeId;

/**
 * The tenants whose quota this node owns. A new owner first asks every node what it holds; until
 * all have answered, or two share durations have passed since it began, it gives out no more than
 * it learned of. It grants nothing while it does not see a majority of the listed nodes. Not
 * thread-safe.
 */
public final class QuotaOwner {

  /** One for the former owner to notice that it is cut off, one for its last shares to expire. */
  private static final int SHARE_DURATIONS_TO_WAIT = 2;

  private final NodeId self;
  private final QuotaParameters parameters;
  private final Map<String, OwnedTenant> owned = new HashMap<>();
  private final Map<NodeId, Long> lastNumbers = new HashMap<>();

  /** The books of one tenant. */
  private static final class OwnedTenant {
    private final Set<NodeId> unanswered;
    private final long completeAtNanos;
    private final Map<QuotaKey, QuotaLedger> ledgers = new HashMap<>();

    OwnedTenant(Set<NodeId> unanswered, long completeAtNanos) {
      this.unanswered = unanswered;
      this.completeAtNanos = completeAtNanos;
    }

    boolean isComplete(long nowNanos) {
      return unanswered.isEmpty() || nowNanos - completeAtNanos >= 0;
    }
  }

  /** An owner of nothing. */
  public QuotaOwner(NodeId self, QuotaParameters parameters) {
    this.self = self;
    this.parameters = parameters;
  }

  /**
   * Takes over tenants that another node owned before, and forgets those it owns no more.
   *
   * @param tenants all tenants this node should own now
   * @param nodes every node that may hold shares or may have owned them, this one included
   */
  public void setTenants(Set<String> tenants, Set<NodeId> nodes, long nowNanos) {
    owned.keySet().retainAll(tenants);
    lastNumbers.keySet().retainAll(nodes);
    long completeAt = nowNanos + SHARE_DURATIONS_TO_WAIT * parameters.shareDuration().toNanos();
    for (String tenant : tenants) {
      if (!owned.containsKey(tenant)) {
        owned.put(tenant, new OwnedTenant(new HashSet<>(nodes), completeAt));
      }
    }
  }

  /**
   * Nodes that have yet to say what they hold, and of which tenants.
   *
   * @param withExpired whether to ask also for shares that have run out
   */
  public Map<NodeId, HoldingsRequest> unanswered(boolean withExpired, long nowNanos) {
    Map<NodeId, List<String>> open = new HashMap<>();
    owned.forEach(
        (name, tenant) -> {
          Set<NodeId> silent = new HashSet<>(tenant.unanswered);
          if (withExpired) {
            tenant.ledgers.values().forEach(book -> silent.addAll(book.unconfirmed(nowNanos)));
          }
          silent.forEach(node -> open.computeIfAbsent(node, key -> new ArrayList<>()).add(name));
        });
    Map<NodeId, HoldingsRequest> questions = new HashMap<>();
    open.forEach((node, names) -> questions.put(node, new HoldingsRequest(self, names)));
    return questions;
  }

  /** What is given out of each limit of the owned tenants; one entry a tenant at least. */
  public List<QuotaUsage> usage() {
    List<QuotaUsage> usage = new ArrayList<>();
    owned.forEach(
        (name, tenant) -> {
          QuotaKey whole = new QuotaKey(name);
          if (!tenant.ledgers.containsKey(whole)) {
            usage.add(QuotaUsage.none(whole));
          }
          tenant.ledgers.forEach((key, ledger) -> usage.add(ledger.usage(key)));
        });
    return usage;
  }

  /** Nodes that are neither seen nor listed any more hold nothing. */
  public void forgetGone(Set<NodeId> present) {
    for (OwnedTenant tenant : owned.values()) {
      tenant.unanswered.retainAll(present);
      for (QuotaLedger ledger : tenant.ledgers.values()) {
        ledger.holders().stream()
            .filter(holder -> !present.contains(holder))
            .forEach(ledger::forget);
      }
    }
  }

  /** A node has answered what it holds. */
  public void onHoldings(
      NodeId holder, List<String> tenants, List<ShareGrant> holdings, long nowNanos) {
    for (ShareGrant holding : holdings) {
      OwnedTenant tenant = owned.get(holding.key().tenant());
      if (tenant != null) {
        ledger(tenant, holding.key()).confirm(holder, holding.share(), nowNanos);
      }
    }
    for (String name : tenants) {
      OwnedTenant tenant = owned.get(name);
      if (tenant != null) {
        tenant.unanswered.remove(holder);
        confirmNothingElse(tenant, holder, holdings, nowNanos);
      }
    }
  }

  private static void confirmNothingElse(
      OwnedTenant tenant, NodeId holder, List<ShareGrant> holdings, long nowNanos) {
    Set<QuotaKey> held = new HashSet<>();
    holdings.forEach(holding -> held.add(holding.key()));
    tenant.ledgers.forEach(
        (key, ledger) -> {
          if (!held.contains(key)) {
            ledger.confirm(holder, QuotaAmounts.NONE, nowNanos);
          }
        });
  }

  /** Another node has taken over these tenants: nothing more is granted of them. */
  public void onTakenOver(List<String> tenants) {
    tenants.forEach(owned::remove);
  }

  /**
   * Answers a node's wish.
   *
   * @param limits the limit of a key, if it has one
   */
  public ShareGrants grant(
      ShareRequests request, Function<QuotaKey, Optional<QuotaAmounts>> limits, long nowNanos) {
    List<ShareGrant> grants = new ArrayList<>();
    long last = lastNumbers.getOrDefault(request.holder(), 0L);
    if (request.number() <= last) {
      return new ShareGrants(parameters.shareDuration().toMillis(), grants);
    }
    lastNumbers.put(request.holder(), request.number());
    for (ShareRequest wish : request.shares()) {
      OwnedTenant tenant = owned.get(wish.key().tenant());
      Optional<QuotaAmounts> limit = limits.apply(wish.key());
      if (tenant != null && limit.isPresent()) {
        QuotaAmounts share = share(tenant, request.holder(), wish, limit.get(), nowNanos);
        boolean contended = ledger(tenant, wish.key()).isContended(limit.get());
        grants.add(new ShareGrant(wish.key(), share, contended));
      }
    }
    return new ShareGrants(parameters.shareDuration().toMillis(), grants);
  }

  private QuotaAmounts share(
      OwnedTenant tenant, NodeId holder, ShareRequest wish, QuotaAmounts limit, long nowNanos) {
    QuotaLedger ledger = ledger(tenant, wish.key());
    if (!tenant.isComplete(nowNanos)) {
      return ledger.renew(holder, wish.holding(), wish.wanted(), nowNanos);
    }
    QuotaAmounts pool = parameters.pool(limit);
    return ledger.grant(holder, wish.holding(), wish.wanted(), pool, nowNanos);
  }

  /** Tenants owned now. */
  public Set<String> tenants() {
    return Set.copyOf(owned.keySet());
  }

  private QuotaLedger ledger(OwnedTenant tenant, QuotaKey key) {
    return tenant.ledgers.computeIfAbsent(
        key,
        name -> {
          long duration = parameters.shareDuration().toNanos();
          return new QuotaLedger(duration, SHARE_DURATIONS_TO_WAIT * duration);
        });
  }
}
