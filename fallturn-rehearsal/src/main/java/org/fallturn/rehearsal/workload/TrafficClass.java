package org.fallturn.rehearsal.workload;

import java.util.List;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/**
 * Requests of one kind.
 *
 * @param service the service they call
 * @param tenants who sends them, each equally often
 * @param urgency how urgent they are
 * @param deadlineMillis from arrival until the whole answer must be there
 * @param prompt length of the prompt in tokens, shared prefix included
 * @param output length of the answer in tokens
 * @param sharedPrefixTokens tokens at the start of the prompt that other requests have too
 * @param sharedPrefixes how many such prefixes there are; popularity falls as 1/rank
 * @param arrivalVariation coefficient of variation of the time between arrivals; 1 is Poisson
 */
public record TrafficClass(
    ServiceName service,
    List<TenantName> tenants,
    Urgency urgency,
    long deadlineMillis,
    LengthDistribution prompt,
    LengthDistribution output,
    int sharedPrefixTokens,
    int sharedPrefixes,
    double arrivalVariation) {
  /** A private copy of the tenants. */
  public TrafficClass {
    tenants = List.copyOf(tenants);
  }
}
