/// Token bucket that limits hedges and retries to a fraction of first attempts.
#ifndef TREFOILMILL_TOKEN_BUDGET_H_
#define TREFOILMILL_TOKEN_BUDGET_H_

namespace trefoilmill {

/// A token bucket that is refilled by first attempts instead of by time. Hedges
/// and retries add no tokens, so they cannot amplify themselves. No operation
/// fails with an error.
class token_budget {
 public:
  /// Each first attempt adds `share` tokens; the bucket holds at most `burst`
  /// tokens and starts full.
  token_budget(double share, double burst);

  /// Adds the tokens for `count` first attempts.
  void AddFirstAttempts(int count);
  /// Takes one token. Returns false and takes nothing if less than one is left.
  bool TrySpend();
  /// Takes `count` tokens unconditionally. The balance may go negative, down to
  /// minus `burst`; TrySpend() then fails until first attempts refill it.
  void Charge(int count);
  /// Returns one token, for a hedge or retry that never reached an endpoint.
  void Refund();
  /// Sets the tokens added per first attempt; the balance is unchanged.
  void set_share(double share) { share_ = share; }
  /// Remaining tokens; negative when overdrawn.
  double balance() const { return balance_; }

 private:
  double share_;
  double burst_;
  double balance_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TOKEN_BUDGET_H_
