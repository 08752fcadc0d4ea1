#include "core/autoscaler/sizing/tracking.h"

#include <Eigen/Dense>

namespace pitchfall::sizing {

double FirstMove(double count, std::span<const double> targets,
                 double error_weight, double move_weight) {
  const auto horizon = static_cast<Eigen::Index>(targets.size());
  if (horizon == 0) return 0;
  // The change of the count up to period h is the sum of the moves up to h, so
  // the changes are L u, with L the lower triangular matrix of ones.
  Eigen::MatrixXd sums =
      Eigen::MatrixXd::Ones(horizon, horizon).triangularView<Eigen::Lower>();
  Eigen::VectorXd error(horizon);
  for (Eigen::Index h = 0; h < horizon; ++h) {
    error(h) = targets[static_cast<size_t>(h)] - count;
  }
  Eigen::MatrixXd normal =
      error_weight * sums.transpose() * sums +
      move_weight * Eigen::MatrixXd::Identity(horizon, horizon);
  Eigen::VectorXd moves =
      normal.ldlt().solve(error_weight * sums.transpose() * error);
  return moves(0);
}

}  // namespace pitchfall::sizing
