package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.rehearsal.workload.TimedRequest;

/**
 * A prefix that prompts of one tenant and service share. Of the blocks of a prompt only these can
 * be found in a cache, so the simulator leaves the hashes of the others out.
 *
 * @param name unique name
 * @param hashes hashes of its full blocks
 */
record SharedPrefix(String name, List<Long> hashes) {

  static SharedPrefix of(TimedRequest request) {
    String service = request.traffic().service().value();
    String name = request.tenant().value() + "/" + service + "/" + request.prefix();
    List<String> tokens = new ArrayList<>();
    for (int token = 0; token < request.traffic().sharedPrefixTokens(); token++) {
      tokens.add(service + request.prefix() + "w" + token);
    }
    return new SharedPrefix(name, PrefixBlocks.hashes(request.tenant().value(), tokens));
  }

  int cachedTokens() {
    return hashes.size() * PrefixBlocks.TOKENS_PER_BLOCK;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SharedPrefix prefix && prefix.name.equals(name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
