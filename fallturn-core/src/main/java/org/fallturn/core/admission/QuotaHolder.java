package org.fallturn.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.fallturn.core.admission.QuotaMessages.ShareGrant;
import org.fallturn.core.admission.QuotaMessages.ShareGrants;
import org.fallturn.core.admission.QuotaMessages.ShareRequest;

/**
 * The shares one node holds and the requests it has admitted on them. Not thread-safe; every call
 * passes the present limits, so that a changed configuration takes effect with the next request.
 */
public final class QuotaHolder {

  private final QuotaParameters parameters;
  private final Map<QuotaKey, LocalQuota> quotas = new HashMap<>();

  /** A holder of nothing. */
  public QuotaHolder(QuotaParameters parameters) {
    this.parameters = parameters;
  }

  /**
   * The limits in force.
   *
   * @param limit the limit of a key, if it has one
   * @param nodes nodes on the machine list, among which the local fraction is divided
   */
  public record Limits(Function<QuotaKey, Optional<QuotaAmounts>> limit, int nodes) {}

  /**
   * Why a request was refused.
   *
   * @param key the limit that was reached
   * @param part which part of it
   * @param retryAfter when to come back
   * @param isFinal whether no share can be expected that would admit it soon
   */
  public record Refusal(QuotaKey key, QuotaPart part, Duration retryAfter, boolean isFinal) {}

  /** Takes a request on all its limits, or on none and says which one refused it. */
  public Optional<Refusal> admit(
      List<QuotaKey> keys, double tokens, Limits limits, boolean firstTry, long nowNanos) {
    List<LocalQuota> taken = new ArrayList<>();
    Optional<Refusal> refusal = Optional.empty();
    for (QuotaKey key : keys) {
      LocalQuota quota = quota(key, limits, nowNanos);
      if (firstTry) {
        quota.demand(tokens, nowNanos);
      }
      QuotaPart blocking = quota.blocking(tokens, nowNanos);
      if (blocking != null && refusal.isEmpty()) {
        refusal = Optional.of(refusal(key, quota, blocking, tokens, nowNanos));
      }
      taken.add(quota);
    }
    if (refusal.isEmpty()) {
      taken.forEach(quota -> quota.take(tokens));
    }
    return refusal;
  }

  private static Refusal refusal(
      QuotaKey key, LocalQuota quota, QuotaPart part, double tokens, long nowNanos) {
    return new Refusal(key, part, quota.retryAfter(tokens, nowNanos), quota.isContended(nowNanos));
  }

  /** An admitted request has its placement. */
  public void placed(List<QuotaKey> keys) {
    keys.forEach(key -> quotas.get(key).placed());
  }

  /** An admitted request has ended. */
  public void finished(List<QuotaKey> keys, double unusedTokens) {
    keys.forEach(key -> quotas.get(key).finished(unusedTokens));
  }

  /** Keys whose owner should hear from this node now. */
  public Set<QuotaKey> due(long nowNanos) {
    Set<QuotaKey> due = new HashSet<>();
    quotas.forEach(
        (key, quota) -> {
          if (quota.isDue(nowNanos)) {
            due.add(key);
          }
        });
    return due;
  }

  /** What this node may use of a limit now: its local fraction and its share. */
  public QuotaAmounts usable(QuotaKey key, long nowNanos) {
    LocalQuota quota = quotas.get(key);
    return quota == null ? QuotaAmounts.NONE : quota.usable(nowNanos);
  }

  /** The wish for a key; gives back at once what is not needed. */
  public ShareRequest request(QuotaKey key, Limits limits, long nowNanos) {
    LocalQuota quota = quota(key, limits, nowNanos);
    boolean needed = quota.needsShare(nowNanos);
    QuotaAmounts need = quota.takeWanted(nowNanos);
    QuotaAmounts wanted = needed ? need : QuotaAmounts.NONE;
    return new ShareRequest(key, quota.shrinkTo(wanted, nowNanos), wanted);
  }

  /** Takes what an owner granted; the shares hold from when the request was sent. */
  public void onGrants(ShareGrants grants, long sentNanos, long nowNanos) {
    long until = sentNanos + Duration.ofMillis(grants.validMillis()).toNanos();
    for (ShareGrant grant : grants.grants()) {
      LocalQuota quota = quotas.get(grant.key());
      if (quota != null) {
        quota.setShare(grant.share(), grant.contended(), until, nowNanos);
      }
    }
  }

  /** The shares held of some tenants. */
  public List<ShareGrant> holdings(List<String> tenants, long nowNanos) {
    Set<String> wanted = Set.copyOf(tenants);
    List<ShareGrant> holdings = new ArrayList<>();
    quotas.forEach(
        (key, quota) -> {
          QuotaAmounts held = quota.held(nowNanos);
          if (wanted.contains(key.tenant()) && !held.equals(QuotaAmounts.NONE)) {
            holdings.add(new ShareGrant(key, held, false));
          }
        });
    return holdings;
  }

  /** Forgets limits that nobody uses. */
  public void forgetIdle(long nowNanos) {
    quotas
        .values()
        .removeIf(
            quota -> quota.isIdle(nowNanos) && quota.share(nowNanos).equals(QuotaAmounts.NONE));
  }

  private LocalQuota quota(QuotaKey key, Limits limits, long nowNanos) {
    LocalQuota quota = quotas.computeIfAbsent(key, name -> new LocalQuota(parameters, nowNanos));
    QuotaAmounts limit = limits.limit().apply(key).orElse(QuotaAmounts.NONE);
    quota.setLimit(limit, limits.nodes(), nowNanos);
    return quota;
  }
}
