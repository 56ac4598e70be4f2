package org.fallturn.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.fallturn.core.domain.TenantName;

/**
 * Waiting requests of one urgency: start-time fair queueing among tenants, earliest deadline first
 * within a tenant. Each tenant carries a virtual finish tag; a request served adds its cost divided
 * by the tenant's weight to it, and the tenant with the lowest start tag goes next. A tenant that
 * was idle starts at the present virtual time, so it neither saves up nor owes for the time it
 * asked for nothing. Every operation takes O(log n).
 */
final class FairQueue {
  private static final double LEAST_WEIGHT = 1e-6;

  private final Map<TenantName, TenantQueue> tenants = new HashMap<>();
  private final TreeSet<TenantQueue> byStart = new TreeSet<>(TenantQueue.BY_START);
  private final TreeSet<TenantQueue> byBacklog = new TreeSet<>(TenantQueue.BY_BACKLOG);
  private double virtualTime;
  private double waitingWeight;
  private int size;
  private long promptTokens;
  private long outputTokens;

  int size() {
    return size;
  }

  long promptTokens() {
    return promptTokens;
  }

  long outputTokens() {
    return outputTokens;
  }

  void add(QueuedRequest queued) {
    TenantQueue tenant = tenants.computeIfAbsent(queued.tenant(), TenantQueue::new);
    boolean wasIdle = tenant.requests.isEmpty();
    takeOut(tenant);
    if (wasIdle) {
      tenant.startTag = Math.max(virtualTime, tenant.finishTag);
    }
    tenant.weight = Math.max(LEAST_WEIGHT, queued.request.shareWeight());
    tenant.requests.add(queued);
    tenant.promptTokens += queued.request.promptTokens();
    tenant.outputTokens += queued.request.expectedOutputTokens();
    putBack(tenant);
    count(queued, 1);
  }

  /** The request whose turn it is. */
  Optional<QueuedRequest> first() {
    return byStart.isEmpty() ? Optional.empty() : Optional.of(byStart.first().requests.first());
  }

  /** Takes out a request that was served at a cost in engine seconds. */
  void removeServed(QueuedRequest queued, double cost) {
    TenantQueue tenant = tenants.get(queued.tenant());
    virtualTime = Math.max(virtualTime, tenant.startTag);
    takeOut(tenant);
    drop(tenant, queued);
    tenant.finishTag = tenant.startTag + cost / tenant.weight;
    tenant.startTag = tenant.finishTag;
    putBack(tenant);
  }

  /** Takes out a request that was not served. */
  void removeUnserved(QueuedRequest queued) {
    TenantQueue tenant = tenants.get(queued.tenant());
    takeOut(tenant);
    drop(tenant, queued);
    if (tenant.requests.isEmpty() && tenant.finishTag <= virtualTime) {
      tenants.remove(tenant.tenant);
    }
    putBack(tenant);
  }

  /** A served request turned out to cost more (or less) than it was charged. */
  void correctCost(TenantName name, double weight, double extraCost) {
    TenantQueue tenant = tenants.computeIfAbsent(name, TenantQueue::new);
    double extraTag = extraCost / Math.max(LEAST_WEIGHT, weight);
    takeOut(tenant);
    tenant.finishTag = Math.max(virtualTime, tenant.finishTag) + extraTag;
    tenant.startTag = Math.max(virtualTime, tenant.startTag + extraTag);
    putBack(tenant);
  }

  /** The request to give up when the queue is full: the last one of the longest tenant queue. */
  Optional<QueuedRequest> lastOfLongest() {
    return byBacklog.isEmpty() ? Optional.empty() : Optional.of(byBacklog.last().requests.last());
  }

  /** Requests a tenant has waiting here, divided by its weight. */
  double backlogOf(TenantName name) {
    TenantQueue tenant = tenants.get(name);
    return tenant == null ? 0 : tenant.requests.size() / tenant.weight;
  }

  /** Prompt tokens a tenant has waiting here. */
  long promptTokensOf(TenantName name) {
    TenantQueue tenant = tenants.get(name);
    return tenant == null ? 0 : tenant.promptTokens;
  }

  /** Output tokens a tenant has waiting here. */
  long outputTokensOf(TenantName name) {
    TenantQueue tenant = tenants.get(name);
    return tenant == null ? 0 : tenant.outputTokens;
  }

  /** Inverse of the share a tenant gets while it waits here beside all who wait now. */
  double inverseShare(TenantName name, double weight) {
    TenantQueue tenant = tenants.get(name);
    boolean waits = tenant != null && !tenant.requests.isEmpty();
    double weights = waitingWeight + (waits ? 0 : weight);
    return Math.max(1, weights / Math.max(LEAST_WEIGHT, weight));
  }

  private void drop(TenantQueue tenant, QueuedRequest queued) {
    if (!tenant.requests.remove(queued)) {
      throw new IllegalStateException("not queued: " + queued.request.requestId());
    }
    tenant.promptTokens -= queued.request.promptTokens();
    tenant.outputTokens -= queued.request.expectedOutputTokens();
    count(queued, -1);
  }

  private void count(QueuedRequest queued, int sign) {
    size += sign;
    promptTokens += (long) sign * queued.request.promptTokens();
    outputTokens += (long) sign * queued.request.expectedOutputTokens();
  }

  private void takeOut(TenantQueue tenant) {
    if (!tenant.requests.isEmpty()) {
      byStart.remove(tenant);
      byBacklog.remove(tenant);
      waitingWeight = byStart.isEmpty() ? 0 : waitingWeight - tenant.weight;
    }
  }

  private void putBack(TenantQueue tenant) {
    if (!tenant.requests.isEmpty()) {
      byStart.add(tenant);
      byBacklog.add(tenant);
      waitingWeight += tenant.weight;
    }
  }
}
